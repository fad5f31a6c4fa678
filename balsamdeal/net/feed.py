"""Mirrors the source's list of targets: full reads, watches, pauses and backoff.

The ``reader`` implements the source's protocol, see ``platform.store``. This module
decides when to read and when to wait.
"""

import asyncio
import logging
from dataclasses import dataclass
from random import Random

from balsamdeal.core.membership import REFUSED
from balsamdeal.core.revisions import NO_REVISION, Revision
from balsamdeal.errors import HistoryLostError, SourceError

logger = logging.getLogger(__name__)

# How long a watch waits for changes. An answer may be lost on a connection that stays
# up, so a watch that ends without changes is the only sign that the source still
# answers this node. Its absence must be noticed within three seconds: that long after
# the last fault a node has to work normally.
WATCH_TIMEOUT_S = 2.0
# Pause after changes before the next watch, so that a burst of changes takes a few
# reads. It stays far below the two seconds after which a leaving target gets no new
# requests.
CHANGE_PAUSE_S = 0.5
# Upper bound of the jittered delay before a failed read is repeated: the base, doubled
# with each failure, up to the maximum.
RETRY_BASE_S = 0.1
RETRY_MAX_S = 0.8
# Entries cannot expire in a shorter outage: this is shorter than the interval between
# the heartbeats that renew them.
SHORT_OUTAGE_S = 1.0
# Steps at which a failure is detected at once. At other steps the outage may have
# begun long before.
PROMPTLY_DETECTED_STEPS = frozenset({"read", REFUSED, "answer"})


@dataclass(frozen=True, slots=True)
class Outage:
    """When the source was first found unreachable, and at which step."""

    since_s: float
    step: str

    def is_long(self, now_s):
        """Return whether entries may have expired during the outage."""
        return (
            now_s - self.since_s > SHORT_OUTAGE_S
            or self.step not in PROMPTLY_DETECTED_STEPS
        )


@dataclass(frozen=True, slots=True)
class TargetUpdate:
    """An answer of the source about targets: the whole list, or its changes.

    ``entries`` is the whole list as pairs of name and ``Target`` or None; it is None in
    the answer to a watch, which has ``changes``: triples of name, ``Target`` or None,
    and ``Revision``. The next watch begins after ``revision``.
    """

    entries: list | None
    changes: list
    revision: Revision


class TargetFeed:
    """A task that applies the source's list of targets to the request path.

    :param shell: the ``ProxyShell``.
    :param reader: the source's client, with ``read_targets``,
        ``watch_targets`` and ``drop_connections``.
    :param seed: the seed of the jitter.
    """

    def __init__(self, shell, reader, seed):
        self._shell = shell
        self._reader = reader
        self._random = Random(seed)
        self._task = None
        self._grace_timer = None

    def start(self):
        """Start to read and watch the list."""
        self._task = self._shell.loop.create_task(self._watch_targets())
        self._task.add_done_callback(self._restart_after_error)

    def stop(self):
        """Stop reading and watching the list."""
        self._task.cancel()

    def _restart_after_error(self, task):
        """Start again after an unexpected error."""
        if task.cancelled() or task is not self._task:
            return
        logger.error("target feed failed", exc_info=task.exception())
        self._shell.metrics.count("feed_errors")
        self._shell.loop.call_later(RETRY_MAX_S, self.start)

    def restart(self):
        """Read the whole list again, on new connections."""
        self.stop()
        self._reader.drop_connections()
        self.start()

    async def _watch_targets(self):
        revision = None
        outage = None
        failures = 0
        while True:
            try:
                if revision is None:
                    update = await self._reader.read_targets()
                else:
                    update = await self._reader.watch_targets(revision, WATCH_TIMEOUT_S)
            except HistoryLostError as error:
                logger.info("source lost its history", extra={"reason": str(error)})
                revision = None
                # With jitter: all nodes may lose the history at the same moment.
                await asyncio.sleep(self._draw_backoff_s(1))
                continue
            except SourceError as error:
                failures += 1
                if outage is None:
                    outage = Outage(self._shell.loop.time(), error.step)
                    logger.warning("source is away", extra={"reason": str(error)})
                self._shell.metrics.count("source_failures")
                revision = None
                await asyncio.sleep(self._draw_backoff_s(failures))
                continue
            was_long = outage is not None and outage.is_long(self._shell.loop.time())
            if outage is not None:
                logger.info("source is back", extra={"long": was_long})
                outage, failures = None, 0
            revision = update.revision
            if self._apply(update, was_long):
                await asyncio.sleep(CHANGE_PAUSE_S)

    def _draw_backoff_s(self, failures):
        bound_s = min(RETRY_MAX_S, RETRY_BASE_S * 2**failures)
        return self._random.uniform(bound_s / 4, bound_s)

    def _apply(self, update, after_outage):
        """Apply an answer of the source; return whether any target changed."""
        targets = self._shell.proxy.targets
        now_s = self._shell.loop.time()
        before = targets.revision
        if update.entries is not None:
            changed = targets.apply_listing(
                update.entries, update.revision, after_outage, now_s
            )
        else:
            changed = targets.apply_changes(update.changes, update.revision, now_s)
        if before != NO_REVISION and targets.revision.era != before.era:
            self._report_era(before)
        if changed or update.entries is not None:
            self._report_targets(changed)
        self._set_grace_timer()
        return changed

    def _set_grace_timer(self):
        at_s = self._shell.proxy.targets.get_next_grace_end_s()
        if at_s is not None and self._grace_timer is None:
            self._grace_timer = self._shell.loop.call_at(at_s + 0.01, self._end_grace)

    def _end_grace(self):
        self._grace_timer = None
        targets = self._shell.proxy.targets
        self._report_targets(targets.end_grace(self._shell.loop.time()))
        self._set_grace_timer()

    def _report_era(self, before):
        """Count and log that the source has come back from an older copy."""
        targets = self._shell.proxy.targets
        self._shell.metrics.count("source_eras")
        fields = {
            "era": targets.revision.era,
            "revision": targets.revision.number,
            "before_era": before.era,
            "before_revision": before.number,
            "kept": len(targets.targets) - len(targets.missing),
            "awaited": sorted(targets.missing),
            "withheld": sorted(targets.withheld),
        }
        logger.warning("source came back from an older copy", extra=fields)

    def _report_targets(self, changed):
        proxy = self._shell.proxy
        proxy.update_targets(self._shell.loop.time())
        if changed:
            targets = proxy.targets.targets.values()
            fields = {
                "era": proxy.targets.revision.era,
                "revision": proxy.targets.revision.number,
                "targets": len(targets),
                "leaving": [item.instance for item in targets if item.leaving],
                "missing": sorted(proxy.targets.missing),
            }
            logger.info("targets changed", extra=fields)
