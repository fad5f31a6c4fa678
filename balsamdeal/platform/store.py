"""Client of the platform's store: reads a key, lists a prefix, watches for changes.

The store may come back from an older copy of itself. Each answer tells how often that
has happened, its era; revisions of different eras are ordered by era first.
"""

import json
import logging
import time
from dataclasses import dataclass
from urllib.parse import urlencode

from pydantic import ValidationError
from tornado.httputil import HTTPHeaders

from balsamdeal.core.revisions import NO_REVISION, Revision
from balsamdeal.errors import (
    ContentError,
    ExchangeError,
    HistoryLostError,
    SourceError,
)
from balsamdeal.net.connections import ConnectionPool
from balsamdeal.net.feed import TargetUpdate
from balsamdeal.net.following import ConfigurationUpdate
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
HTTP_GONE = 410
ERA_HEADER = "Store-Era"
# An era of more digits is no count of events.
MAX_ERA_DIGITS = 9
# Timeout of calls that do not wait for a change. The store usually answers within
# milliseconds; slow answers of up to a second are still useful.
READ_TIMEOUT_S = 2.0
# Added to a watch's wait to get the timeout of the call: of a watch of targets, beside
# what the last answer took, and of one of the configuration, which another may overlap.
WATCH_MARGIN_S = 0.7
CONFIGURATION_WATCH_MARGIN_S = 1.4
# Allowance for a whole version, as a multiple of its transfer time on an idle link.
TRANSFER_FACTOR = 2.0
MAX_RESPONSE_BYTES = 16_000_000
# Responses of at least this size are logged.
LARGE_RESPONSE_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """An answer of the store: its JSON object, or None for status 404, and its era."""

    body: dict | None
    era: int


class StoreReader:
    """Reads configurations and targets, with a separate watch for each.

    :param shell: the ``ProxyShell``, for its settings and metrics.
    """

    def __init__(self, shell):
        self._shell = shell
        self._pool = ConnectionPool(MAX_RESPONSE_BYTES, buffers=shell.buffers)
        self._reported_bad = {}
        self._rejection = None
        self._unknown_words = ()
        self._era = 0
        self._watch_revision = None
        self._last_revision = None
        self._last_version = 0
        self._needs_read = True
        self._transfer_s = 0.0
        self._call_count = 0
        self._open_calls = set()
        self._last_call = 0
        self._target_delay_s = 0.0

    def drop_connections(self):
        """Close idle connections to the store."""
        self._pool.drop_idle(self._address)

    async def read_configuration(self, after, wait_s):
        """Return a ``ConfigurationUpdate`` with the newest version if it is newer.

        A watch returns every version written since its start revision. After a new
        version the key is read instead, which returns the newest version alone, until
        a read finds no change. Several reads may be open at a time.

        :param after: the version held; it is returned if there is no newer one.
        :param wait_s: how long to wait for a newer version, in seconds; 0 to read the
            key at once.
        :raises SourceError: when the store cannot be read.
        """
        try:
            # If this node got a version from another node, a watch would return it
            # again, with all before it.
            is_current = after == self._last_version and not self._needs_read
            if not (wait_s and is_current):
                found = await self._read_newest(after)
                may_watch = wait_s and self._watch_revision is not None
                if found is not None or not may_watch:
                    return self._make_update(found, after)
            return self._make_update(
                await self._watch_configuration(after, wait_s), after
            )
        except HistoryLostError as error:
            logger.info("source lost its history", extra={"reason": str(error)})
            return self._make_update(await self._read_newest(after), after)
        except SourceError:
            # Many versions may be written before the next call.
            self._needs_read = True
            raise

    def _make_update(self, configuration, after):
        version, transfer_s = max(after, self._last_version), None
        if configuration is not None:
            version, transfer_s = configuration.version, self._transfer_s
        return ConfigurationUpdate(
            version, configuration, transfer_s, self._rejection, self._unknown_words
        )

    async def _get_configuration(self, call, query, timeout_s):
        """Return the ``StoreAnswer``, and whether it is the latest.

        It is not if an answer to a later call has been processed.
        """
        self._call_count += 1
        number = self._call_count
        # The connections of calls that are late may be dead, idle ones too.
        has_open = bool(self._open_calls)
        self._open_calls.add(number)
        timeout_s += TRANSFER_FACTOR * self._transfer_s
        try:
            answer = await self._get(call, query, timeout_s, new_connection=has_open)
        finally:
            self._open_calls.discard(number)
        is_latest = number > self._last_call
        self._last_call = max(number, self._last_call)
        return answer, is_latest

    async def _read_newest(self, after):
        answer, is_latest = await self._get_configuration(
            "kv-key", {"key": CONFIGURATION_KEY}, READ_TIMEOUT_S
        )
        if answer.body is None:
            return None
        revision = self._get_revision(answer)
        item = self._parse_item(answer.body)
        return self._process_item(item, revision, after, is_latest)

    async def _watch_configuration(self, after, wait_s):
        began = self._watch_revision
        query = self._make_watch_query(OPERATOR_PREFIX, began, wait_s)
        timeout_s = wait_s + CONFIGURATION_WATCH_MARGIN_S
        answer, is_latest = await self._get_configuration("kv-watch", query, timeout_s)
        items, revision = self._parse_events(answer, began)
        candidates = [
            item for item in items if item.key == CONFIGURATION_KEY and not item.deleted
        ]
        newest = max(candidates, key=lambda item: item.revision, default=None)
        return self._process_item(newest, revision, after, is_latest)

    def _process_item(self, item, revision, after, is_latest):
        """Return the configuration in an item if it is newer than ``after``.

        An item whose revision has been processed before is not decoded again. A newer
        configuration makes the next call read the key, except after the first item.

        :param item: the item, or None.
        :param revision: the store's ``Revision``; the next watch begins after it.
        :param is_latest: whether no answer to a later call has been processed. An
            answer that was overtaken by one as new changes nothing.
        """
        known = self._last_revision or NO_REVISION
        item_revision = item and Revision(revision.era, item.revision)
        if not is_latest and (item is None or item_revision <= known):
            return None
        is_first = self._last_revision is None
        self._needs_read = False
        if is_latest:
            self._watch_revision = revision
        if item is None or item_revision == self._last_revision:
            return None
        self._last_revision = item_revision
        link_mbps = self._shell.settings.link_mbps
        if link_mbps:
            self._transfer_s = len(item.value) * 8 / (link_mbps * 1e6)
        configuration = self._decode_configuration(item)
        if configuration is None:
            return None
        self._last_version = configuration.version
        if configuration.version <= after:
            return None
        self._needs_read = not is_first
        return configuration

    async def read_targets(self):
        """Return ``TargetUpdate`` with all targets.

        :raises SourceError: when the store cannot be read.
        """
        entries, revision = await self._list_targets()
        return TargetUpdate(entries, [], revision)

    async def _list_targets(self):
        entries = {}
        revision = None
        query = {"path-prefix": SERVERS_PREFIX}
        while True:
            started_s = time.monotonic()
            answer = await self._get("kv-range", query)
            self._target_delay_s = time.monotonic() - started_s
            body = answer.body
            if body is None:
                raise SourceError(
                    "list call answered with status 404", "answer", self._address
                )
            if revision is None:
                # Pages are not a consistent snapshot: the watch that follows starts at
                # the revision of the first page, to return what changed meanwhile.
                revision = self._get_revision(answer)
            self._check_era(answer, revision)
            items = [self._parse_item(item) for item in body.get("items", ())]
            items = [item for item in items if item is not None]
            for item in items:
                entries[item.key] = self._decode_target(item, revision.era)
            if not body.get("has-more") or not items:
                return list(entries.items()), revision
            query["after"] = items[-1].key

    async def watch_targets(self, after, wait_s):
        """Return ``TargetUpdate`` with the changes since a revision.

        :param after: the ``Revision``.
        :param wait_s: how long the store may wait for a change, in seconds.
        :raises HistoryLostError: when the store no longer has these changes, or has
            come back from an older copy.
        :raises SourceError: when the store cannot be read.
        """
        query = self._make_watch_query(SERVERS_PREFIX, after, wait_s)
        margin_s = WATCH_MARGIN_S + self._target_delay_s
        started_s = time.monotonic()
        answer = await self._get("kv-watch", query, wait_s + margin_s)
        items, revision = self._parse_events(answer, after)
        if not items:
            self._target_delay_s = max(0.0, time.monotonic() - started_s - wait_s)
        changes = []
        for item in items:
            target = None if item.deleted else self._decode_target(item, revision.era)
            changes.append((item.key, target, Revision(revision.era, item.revision)))
        return TargetUpdate(None, changes, revision)

    @staticmethod
    def _make_watch_query(prefix, after, wait_s):
        wait_ms = int(wait_s * 1000)
        return {"path-prefix": prefix, "after": after.number, "wait-ms": wait_ms}

    def _parse_events(self, answer, began):
        """Return the items in the answer to a watch, and the store's ``Revision``.

        :param began: the ``Revision`` after which the watch began.
        :raises HistoryLostError: when the store has come back from an older copy.
        """
        if answer.body is None:
            raise SourceError("watch answered with status 404", "answer", self._address)
        self._check_era(answer, began)
        items = [self._parse_item(item) for item in answer.body.get("events", ())]
        return [item for item in items if item is not None], self._get_revision(answer)

    def _check_era(self, answer, began):
        """Raise an error if the store has come back from an older copy.

        Changes between that copy and the revision at which the call began are missing
        in its answer.
        """
        if answer.era != began.era:
            reason = f"the store has come back from a copy, era {answer.era}"
            raise HistoryLostError(reason, "answer", self._address)

    @property
    def _address(self):
        return self._shell.settings.source_address

    async def _get(self, call, query, timeout_s=READ_TIMEOUT_S, new_connection=False):
        """Return the ``StoreAnswer``.

        :raises SourceError: also for an answer of an earlier era than the latest known.
        """
        started_s = time.monotonic()
        try:
            response = await self._pool.fetch(
                self._address,
                "GET",
                f"/api/{call}?{urlencode(query)}",
                HTTPHeaders(),
                timeout_s=timeout_s,
                new_connection=new_connection,
            )
        except ExchangeError as error:
            raise SourceError(error.message, error.step, error.peer) from error
        self._shell.metrics.count("source_calls")
        self._shell.metrics.count("control_bytes", response.size)
        if response.size >= LARGE_RESPONSE_BYTES:
            elapsed_ms = round((time.monotonic() - started_s) * 1000)
            fields = {"call": call, "bytes": response.size, "ms": elapsed_ms}
            logger.info("large answer of the source", extra=fields)
        era = self._read_era(response)
        if response.status == 404:
            return StoreAnswer(None, era)
        if response.status == HTTP_GONE:
            raise HistoryLostError(
                "changes since this revision are no longer kept", call, self._address
            )
        if response.status != 200:
            raise SourceError(f"status {response.status}", "answer", self._address)
        try:
            body = json.loads(response.body)
        except (ValueError, RecursionError) as error:
            raise SourceError("not JSON", "answer", self._address) from error
        if not isinstance(body, dict):
            raise SourceError("not an object", "answer", self._address)
        return StoreAnswer(body, era)

    def _read_era(self, response):
        """Return the era of an answer; the latest known if the answer names none."""
        text = response.headers.get(ERA_HEADER)
        if text is None:
            return self._era
        if not (text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS):
            raise SourceError(f"era {text[:20]!r}", "answer", self._address)
        era = int(text)
        if era < self._era:
            reason = f"answer of era {era} after one of era {self._era}"
            raise SourceError(reason, "answer", self._address)
        if era > self._era:
            fields = {"era": era, "before_era": self._era}
            logger.info("era of the source", extra=fields)
        self._era = era
        return era

    def _get_revision(self, answer):
        number = answer.body.get("current-rev")
        if not isinstance(number, int):
            raise SourceError("no revision", "answer", self._address)
        return Revision(answer.era, number)

    def _parse_item(self, content):
        try:
            return ItemMessage.model_validate(content)
        except ValidationError as error:
            self._report_bad_entry("item", str(content)[:80], error.errors()[0]["msg"])
            return None

    def _decode_configuration(self, item):
        if item is None:
            return None
        started_s = time.monotonic()
        try:
            configuration = decode_configuration(decode_value(item))
        except ContentError as error:
            self._report_bad_entry(item.key, item.revision, str(error))
            self._rejection = str(error)
            return None
        self._rejection = None
        self._report_unknown_words(configuration)
        fields = {
            "version": configuration.version,
            "revision": item.revision,
            "bytes": len(item.value),
            "held_loop_ms": round((time.monotonic() - started_s) * 1000),
        }
        logger.info("configuration decoded", extra=fields)
        return configuration

    def _report_unknown_words(self, configuration):
        """Count the unknown words, and log them if they have changed."""
        words = configuration.unknown_words
        self._shell.metrics.count("unknown_words", len(words))
        if words and words != self._unknown_words:
            fields = {"version": configuration.version, "words": words}
            logger.warning("configuration has unknown words", extra=fields)
        self._unknown_words = words

    def _decode_target(self, item, era):
        port = self._shell.settings.node_address.rpartition(":")[2]
        try:
            return decode_target(item, SERVERS_PREFIX, port, era)
        except ContentError as error:
            self._report_bad_entry(item.key, item.revision, str(error))
            return None

    def _report_bad_entry(self, key, revision, reason):
        """Count an invalid entry, and log it once for each of its revisions."""
        self._shell.metrics.count("bad_entries")
        if self._reported_bad.get(key) != revision:
            if len(self._reported_bad) > 1000:
                self._reported_bad.clear()
            self._reported_bad[key] = revision
            logger.warning("bad entry", extra={"key": key, "reason": reason})
