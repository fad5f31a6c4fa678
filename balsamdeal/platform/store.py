"""Calls of the platform's store: read a key, list a prefix, watch for changes."""

import json
import logging
import time
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
from balsamdeal.net.feed import TargetNews
from balsamdeal.platform.messages import (
    ItemMessage,
    decode_configuration,
    decode_target,
    decode_value,
)

logger = logging.getLogger(__name__)

CONFIGURATION_KEY = "op/config"
OPERATOR_PREFIX = "op/"
SERVERS_PREFIX = "servers/"
GONE = 410
# Time for an answer that waits for nothing. The store answers in milliseconds; slow
# ones of up to a second are still worth having.
READ_TIMEOUT_S = 2.0
# How much longer than a watch waits its answer may take.
WATCH_MARGIN_S = 0.7
# A whole version may take this many times as long as its bytes take on an idle link.
TRANSFER_FACTOR = 2.0
MAX_ANSWER_BYTES = 16_000_000
# Answers from this size on get a line in the log, in bytes.
LARGE_ANSWER_BYTES = 65_536


class StoreReader:
    """Reads configurations and targets, each on a watch of its own.

    :param shell: the ``ProxyShell``, for its settings and metrics.
    """

    def __init__(self, shell):
        self._shell = shell
        self._pool = ConnectionPool(MAX_ANSWER_BYTES)
        self._bad = {}
        self._revision = None
        self._taken_revision = None
        self._taken_version = 0
        self._unsettled = True
        self._transfer_s = 0.0

    def drop_connections(self):
        """Close idle connections to the store."""
        self._pool.drop_idle(self._address)

    async def read_configuration(self, after, wait_s):
        """Return the newest version's number, and the ``Configuration`` if it is news.

        A watch returns each version since the revision that it begins at. After news
        the key is read instead, which holds the newest alone, until it stays the same.

        :param after: the version held, which the answer repeats if nothing is newer.
        :param wait_s: how long to wait for news, in seconds; 0 for a read.
        :raises SourceError: when it cannot be read.
        """
        try:
            # Other nodes may have brought versions that a watch would repeat.
            is_current = after == self._taken_version and not self._unsettled
            if not (wait_s and is_current):
                found = await self._read_newest(after)
                if found is not None or not wait_s:
                    return self._tell(found, after)
            return self._tell(await self._watch_configuration(after, wait_s), after)
        except HistoryLostError as error:
            logger.info("source lost its history", extra={"reason": str(error)})
            return self._tell(await self._read_newest(after), after)
        except SourceError:
            # Many versions may be waiting by the next read.
            self._unsettled = True
            raise

    def _tell(self, configuration, after):
        if configuration is None:
            return max(after, self._taken_version), None
        return configuration.version, configuration

    async def _read_newest(self, after):
        timeout_s = READ_TIMEOUT_S + self._transfer_s
        body = await self._get("kv-key", {"key": CONFIGURATION_KEY}, timeout_s)
        if body is None:
            return None
        revision = self._get_revision(body)
        configuration = self._take_item(self._parse_item(body), after)
        self._revision = revision
        return configuration

    async def _watch_configuration(self, after, wait_s):
        items, revision = await self._watch(
            OPERATOR_PREFIX, self._revision, wait_s, self._transfer_s
        )
        written = [
            item for item in items if item.key == CONFIGURATION_KEY and not item.deleted
        ]
        newest = max(written, key=lambda item: item.revision, default=None)
        configuration = self._take_item(newest, after)
        self._revision = revision
        return configuration

    def _take_item(self, item, after):
        """Return the configuration in an item if it is newer than ``after``."""
        is_first = self._taken_revision is None
        self._unsettled = False
        if item is None or item.revision == self._taken_revision:
            return None
        self._taken_revision = item.revision
        link_mbps = self._shell.settings.link_mbps
        if link_mbps:
            size = len(item.value)
            self._transfer_s = TRANSFER_FACTOR * size * 8 / (link_mbps * 1e6)
        configuration = self._decode_configuration(item)
        if configuration is None:
            return None
        self._taken_version = configuration.version
        if configuration.version <= after:
            return None
        self._unsettled = not is_first
        return configuration

    async def read_targets(self):
        """Return ``TargetNews`` of all targets."""
        entries, revision = await self._list_targets()
        return TargetNews(entries, [], revision)

    async def _list_targets(self):
        entries = {}
        revision = None
        query = {"path-prefix": SERVERS_PREFIX}
        while True:
            body = await self._get("kv-range", query)
            if body is None:
                raise SourceError("no list", "answer", self._address)
            if revision is None:
                # Pages are no snapshot: changes since the first are watched for.
                revision = self._get_revision(body)
            items = [self._parse_item(item) for item in body.get("items", ())]
            items = [item for item in items if item is not None]
            for item in items:
                entries[item.key] = self._decode_target(item)
            if not body.get("has-more") or not items:
                return list(entries.items()), revision
            query["after"] = items[-1].key

    async def watch_targets(self, after, wait_s):
        """Return ``TargetNews`` since a revision, at once or when there is some.

        :param after: the revision.
        :param wait_s: how long the store may wait for a change, in seconds.
        """
        items, revision = await self._watch(SERVERS_PREFIX, after, wait_s)
        changes = []
        for item in items:
            target = None if item.deleted else self._decode_target(item)
            changes.append((item.key, target, item.revision))
        return TargetNews(None, changes, revision)

    async def _watch(self, prefix, after, wait_s, transfer_s=0.0):
        """Return the items written since a revision, and the revision after them.

        :param transfer_s: how long the answer may take beyond the wait's margin.
        """
        query = {
            "path-prefix": prefix,
            "after": after,
            "wait-ms": int(wait_s * 1000),
        }
        timeout_s = wait_s + WATCH_MARGIN_S + transfer_s
        body = await self._get("kv-watch", query, timeout_s)
        if body is None:
            raise SourceError("no answer to a watch", "answer", self._address)
        revision = self._get_revision(body)
        items = [self._parse_item(item) for item in body.get("events", ())]
        return [item for item in items if item is not None], revision

    @property
    def _address(self):
        return self._shell.settings.source_address

    async def _get(self, call, query, timeout_s=READ_TIMEOUT_S):
        """Return the JSON body of an answer, or None for 404."""
        began_s = time.monotonic()
        try:
            response = await self._pool.fetch(
                self._address,
                "GET",
                f"/api/{call}?{urlencode(query)}",
                HTTPHeaders(),
                timeout_s=timeout_s,
            )
        except ExchangeError as error:
            raise SourceError(error.message, error.step, error.peer) from error
        self._shell.metrics.count("source_calls")
        self._shell.metrics.count("control_bytes", response.size)
        if response.size >= LARGE_ANSWER_BYTES:
            took_ms = round((time.monotonic() - began_s) * 1000)
            fields = {"call": call, "bytes": response.size, "ms": took_ms}
            logger.info("large answer of the source", extra=fields)
        if response.status == 404:
            return None
        if response.status == GONE:
            raise HistoryLostError("history is gone", call, self._address)
        if response.status != 200:
            raise SourceError(f"status {response.status}", "answer", self._address)
        try:
            body = json.loads(response.body)
        except ValueError as error:
            raise SourceError("not JSON", "answer", self._address) from error
        if not isinstance(body, dict):
            raise SourceError("not an object", "answer", self._address)
        return body

    def _get_revision(self, body):
        revision = body.get("current-rev")
        if not isinstance(revision, int):
            raise SourceError("no revision", "answer", self._address)
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
        began_s = time.monotonic()
        try:
            configuration = decode_configuration(decode_value(item))
        except ContentError as error:
            self._note_bad(item.key, item.revision, str(error))
            return None
        fields = {
            "version": configuration.version,
            "revision": item.revision,
            "bytes": len(item.value),
            "held_loop_ms": round((time.monotonic() - began_s) * 1000),
        }
        logger.info("configuration decoded", extra=fields)
        return configuration

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
