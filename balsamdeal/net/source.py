"""Client of the platform's key-value service: reads and watches over HTTP.

The API is that of Consul's key-value store: ``GET /v1/kv/KEY?raw`` with blocking
queries by ``index`` and ``wait``, and the revision in ``X-Consul-Index``. A channel's
key holds a small pointer to its content, so a watch that times out without a change
transfers only that pointer again.
"""

import json

from pydantic import ValidationError
from tornado.httputil import HTTPHeaders

from balsamdeal.documents import CONFIG, DIGEST_LENGTH, build_document, hash_content
from balsamdeal.errors import ExchangeError, SourceError
from balsamdeal.models import Bundle, PartReference, Pointer, VmListPart

READ_TIMEOUT_S = 1.0
REVISION_HEADER = "X-Consul-Index"
MAX_PARTS = 10_000


class Source:
    """Reads the channels' documents from the platform's key-value service.

    :param pool: the ``ConnectionPool``.
    :param address: ``IP:port`` of the service.
    :param keys: maps each channel to its key.
    :param count: adds to a counter, by name and amount.
    """

    def __init__(self, pool, address, keys, count):
        self._pool = pool
        self._address = address
        self._keys = keys
        self._count = count

    async def read(self, channel, after_revision, wait_s, known):
        """Return the revision and the document, which is None when nothing is newer.

        :param channel: the channel to read.
        :param after_revision: the latest revision read before, or 0; with ``wait_s``
            the service waits for a higher one.
        :param wait_s: how long the service may hold the request while there is no
            newer revision, in seconds; 0 reads at once.
        :param known: the document that this node has, or None; its large parts are
            reused where the digest is unchanged.
        :raises SourceError: when the document cannot be read, is invalid or its
            content does not match the digests.
        """
        query = f"?raw&index={after_revision}&wait={wait_s:g}s" if wait_s else "?raw"
        response = await self._fetch(self._keys[channel] + query, wait_s)
        revision = self._parse_revision(response)
        if wait_s and revision == after_revision:
            return revision, None
        pointer = self._parse(Pointer, response.body, channel)
        text = await self._read_content(channel, pointer.content)
        if channel == CONFIG:
            parts = await self._read_bundle(text, known)
        else:
            parts = self._split_vms(text)
        return revision, build_document(revision, parts, known)

    def _parse(self, model, body, name):
        try:
            return model.model_validate_json(body)
        except ValidationError as error:
            fault = error.errors()[0]
            message = f"{name}: {fault['loc']}: {fault['msg']}"
            raise SourceError(message, "decode", self._address) from error

    async def _read_content(self, name, reference):
        """Return the text at a reference's key.

        :raises SourceError: when its digest is not the one in the reference.
        """
        response = await self._fetch(f"{reference.key}?raw", 0.0)
        self._count("source_reads")
        content = self._decode(response.body, name)
        if hash_content(content) != reference.sha256[:DIGEST_LENGTH]:
            # The reference and the content belong to different publications.
            raise SourceError(f"{name}: half published", "parts", self._address)
        return content

    async def _fetch(self, path, wait_s):
        try:
            response = await self._pool.fetch(
                self._address,
                "GET",
                f"/v1/kv/{path}",
                HTTPHeaders(),
                timeout_s=wait_s + READ_TIMEOUT_S,
            )
        except ExchangeError as error:
            raise SourceError(error.message, error.step, error.peer) from error
        self._count("control_bytes", response.size)
        if response.status != 200:
            raise SourceError(f"status {response.status}", "read", self._address)
        return response

    def _parse_revision(self, response):
        try:
            return int(response.headers[REVISION_HEADER])
        except (KeyError, ValueError) as error:
            raise SourceError("no revision", "read", self._address) from error

    def _decode(self, body, name):
        try:
            return body.decode()
        except UnicodeDecodeError as error:
            message = f"{name}: invalid UTF-8 at byte {error.start}"
            raise SourceError(message, "decode", self._address) from error

    async def _read_bundle(self, text, known):
        """Return the parts of a bundle; large parts are stored under separate keys."""
        bundle = self._parse(Bundle, text, "bundle")
        if len(bundle.parts) > MAX_PARTS:
            raise SourceError("too many parts", "decode", self._address)
        parts = {}
        for name, value in bundle.parts.items():
            if isinstance(value, PartReference):
                value = await self._read_part(name, value, known)
            parts[name] = value
        return parts

    async def _read_part(self, name, reference, known):
        digest = reference.sha256[:DIGEST_LENGTH]
        if known is not None and known.hashes.get(name) == digest:
            return known.parts[name]
        return await self._read_content(name, reference)

    def _split_vms(self, text):
        """Return one part per failure domain, byte for byte equal on every node."""
        entries = self._parse(VmListPart, text, "VM list").vms
        domains = {}
        for entry in entries:
            domains.setdefault(entry.failure_domain, []).append(entry.model_dump())
        return {
            domain: json.dumps(
                {"vms": sorted(vms, key=lambda vm: vm["vm"])},
                sort_keys=True,
                separators=(",", ":"),
                ensure_ascii=False,
            )
            for domain, vms in domains.items()
        }
