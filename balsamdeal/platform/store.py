"""Calls of the platform's store: read a key, list a prefix, watch for changes."""

import json
import logging
from urllib.parse import urlencode

from pydantic import ValidationError
from tornado.httputil import HTTPHeaders

from balsamdeal.errors import (
    ContentError,
    ExchangeError,
    HistoryLostError,
    SourceError,
)
from balsamdeal.net.connections import ConnectionPool
from balsamdeal.platform.messages import (
    ItemMessage,
    decode_configuration,
    decode_target,
    decode_value,
)

logger = logging.getLogger(__name__)

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"
GONE = 410
# Time for an answer that waits for nothing. The store answers in milliseconds; slow
# ones of up to a second are still worth having.
READ_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 16_000_000


class StoreReader:
    """Reads configurations and targets.

    :param shell: the ``ProxyShell``, for its settings and metrics.
    """

    def __init__(self, shell):
        self._shell = shell
        self._pool = ConnectionPool(MAX_ANSWER_BYTES)
        self._bad = {}

    def drop_connections(self):
        """Close idle connections to the store."""
        self._pool.drop_idle(self._address)

    async def read_configuration(self):
        """Return the configuration or None, and the store's revision."""
        body = await self._get("kv-key", {"key": CONFIGURATION_KEY})
        if body is None:
            return None, None
        revision = self._get_revision(body)
        return self._decode_configuration(self._parse_item(body)), revision

    async def watch_configuration(self, after, wait_s):
        """Return the newest configuration since a revision, in a list, and the next.

        :param after: the revision.
        :param wait_s: how long the store may wait for a change, in seconds.
        """
        items, revision = await self._watch(CONFIGURATION_KEY, after, wait_s)
        items = [item for item in items if item and not item.deleted]
        found = [self._decode_configuration(item) for item in items[-1:]]
        return [item for item in found if item is not None], revision

    async def list_targets(self):
        """Return pairs of key and ``Target`` or None, and the revision."""
        entries = {}
        revision = None
        query = {"path-prefix": SERVERS_PREFIX}
        while True:
            body = await self._get("kv-range", query)
            if body is None:
                raise SourceError("no list", "read", self._address)
            if revision is None:
                # Pages are no snapshot: changes since the first are watched for.
                revision = self._get_revision(body)
            items = [self._parse_item(item) for item in body.get("items", ())]
            items = [item for item in items if item is not None]
            for item in items:
                entries[item.key] = self._decode_target(item)
            if not body.get("has-more") or not items:
                return entries.items(), revision
            query["after"] = items[-1].key

    async def watch_targets(self, after, wait_s):
        """Return triples of key, ``Target`` or None and revision, and the next."""
        items, revision = await self._watch(SERVERS_PREFIX, after, wait_s)
        changes = []
        for item in items:
            if item is not None:
                target = None if item.deleted else self._decode_target(item)
                changes.append((item.key, target, item.revision))
        return changes, revision

    @property
    def _address(self):
        return self._shell.settings.source_address

    async def _watch(self, prefix, after, wait_s):
        query = {
            "path-prefix": prefix,
            "after": after,
            "wait-ms": int(wait_s * 1000),
        }
        body = await self._get("kv-watch", query, wait_s)
        if body is None:
            raise SourceError("no answer to a watch", "read", self._address)
        items = [self._parse_item(item) for item in body.get("events", ())]
        return items, self._get_revision(body)

    async def _get(self, call, query, wait_s=0.0):
        """Return the JSON body of an answer, or None for 404."""
        try:
            response = await self._pool.fetch(
                self._address,
                "GET",
                f"/api/{call}?{urlencode(query)}",
                HTTPHeaders(),
                timeout_s=wait_s + READ_TIMEOUT_S,
            )
        except ExchangeError as error:
            raise SourceError(error.message, error.step, error.peer) from error
        self._shell.metrics.count("source_calls")
        self._shell.metrics.count("control_bytes", response.size)
        if response.status == 404:
            return None
        if response.status == GONE:
            raise HistoryLostError("history is gone", call, self._address)
        if response.status != 200:
            raise SourceError(f"status {response.status}", call, self._address)
        try:
            body = json.loads(response.body)
        except ValueError as error:
            raise SourceError("not JSON", call, self._address) from error
        if not isinstance(body, dict):
            raise SourceError("not an object", call, self._address)
        return body

    def _get_revision(self, body):
        revision = body.get("current-rev")
        if not isinstance(revision, int):
            raise SourceError("no revision", "read", self._address)
        return revision

    def _parse_item(self, content):
        try:
            return ItemMessage.model_validate(content)
        except ValidationError as error:
            self._note_bad("item", str(content)[:80], error.errors()[0]["msg"])
            return None

    def _decode_configuration(self, item):
        if item is None:
            return None
        try:
            return decode_configuration(decode_value(item))
        except ContentError as error:
            self._note_bad(item.key, item.revision, str(error))
            return None

    def _decode_target(self, item):
        port = self._shell.settings.node_address.rpartition(":")[2]
        try:
            return decode_target(item, SERVERS_PREFIX, port)
        except ContentError as error:
            self._note_bad(item.key, item.revision, str(error))
            return None

    def _note_bad(self, key, revision, reason):
        """Count a bad entry, and log it once for each change of it."""
        self._shell.metrics.count("bad_entries")
        if self._bad.get(key) != revision:
            if len(self._bad) > 1000:
                self._bad.clear()
            self._bad[key] = revision
            logger.warning("bad entry", extra={"key": key, "reason": reason})
