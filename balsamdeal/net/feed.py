"""Follows the source's list of targets: reads, watches, pauses, backoff.

The ``reader`` speaks the source's protocol, see ``platform.store``. What is decided
here is when to read and when to wait.
"""

import asyncio
import logging
from dataclasses import dataclass
from random import Random

from balsamdeal.core.membership import REFUSED
from balsamdeal.errors import HistoryLostError, SourceError

logger = logging.getLogger(__name__)

# How long a watch waits for news. An answer may be lost on a connection that stays up,
# so a watch that ends without news is the only sign that the source still talks to
# this node. It must be noticed within the three seconds in which a node counts as calm.
WATCH_S = 2.0
# After news a watch pauses, so that a storm of changes becomes a few reads. It stays
# far below the two seconds after which a leaving target gets nothing new.
NEWS_PAUSE_S = 0.5
# Full jitter between attempts: base, doubled with each failure up to the longest.
RETRY_BASE_S = 0.1
RETRY_MAX_S = 0.8
# Entries cannot lapse in an outage shorter than this: it is below one heartbeat.
SHORT_OUTAGE_S = 1.0
# Failures that are noticed at once. Others may have begun long before.
PROMPT_STEPS = frozenset({"read", REFUSED, "answer"})


@dataclass(frozen=True, slots=True)
class Outage:
    """When the source was first found away, and at which step."""

    since_s: float
    step: str

    def is_long(self, now_s):
        """Return whether entries may have lapsed in it."""
        return now_s - self.since_s > SHORT_OUTAGE_S or self.step not in PROMPT_STEPS


@dataclass(frozen=True, slots=True)
class TargetNews:
    """What the source said of targets: all of them, or what has changed.

    ``entries`` are pairs of name and ``Target`` or None, of the whole list; it is None
    in the answer to a watch, which has ``changes``: triples of name, ``Target`` or
    None, and revision. ``revision`` is where the next watch begins.
    """

    entries: list | None
    changes: list
    revision: int


class Feed:
    """A loop that brings news of targets to the request path.

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
        self._expiry = None

    def start(self):
        """Start to follow the source."""
        self._task = self._shell.loop.create_task(self._follow())
        self._task.add_done_callback(self._resume)

    def stop(self):
        """Stop to follow it."""
        self._task.cancel()

    def _resume(self, task):
        """Start again after an error that nobody foresaw."""
        if task.cancelled() or task is not self._task:
            return
        logger.error("feed failed", exc_info=task.exception())
        self._shell.metrics.count("feed_errors")
        self._shell.loop.call_later(RETRY_MAX_S, self.start)

    def restart(self):
        """Read everything anew, on new connections."""
        self.stop()
        self._reader.drop_connections()
        self.start()

    async def _follow(self):
        revision = None
        outage = None
        failures = 0
        while True:
            try:
                if revision is None:
                    news = await self._reader.read_targets()
                else:
                    news = await self._reader.watch_targets(revision, WATCH_S)
            except HistoryLostError as error:
                logger.info("source lost its history", extra={"reason": str(error)})
                revision = None
                await asyncio.sleep(RETRY_BASE_S)
                continue
            except SourceError as error:
                failures += 1
                if outage is None:
                    outage = Outage(self._shell.loop.time(), error.step)
                    logger.warning("source is away", extra={"reason": str(error)})
                self._shell.metrics.count("source_failures")
                revision = None
                await asyncio.sleep(self._draw_delay_s(failures))
                continue
            long = outage is not None and outage.is_long(self._shell.loop.time())
            if outage is not None:
                logger.info("source is back", extra={"long": long})
                outage, failures = None, 0
            revision = news.revision
            if self._take(news, long):
                await asyncio.sleep(NEWS_PAUSE_S)

    def _draw_delay_s(self, failures):
        bound_s = min(RETRY_MAX_S, RETRY_BASE_S * 2**failures)
        return self._random.uniform(bound_s / 4, bound_s)

    def _take(self, news, after_outage):
        """Apply news; return whether there was any."""
        targets = self._shell.proxy.targets
        now_s = self._shell.loop.time()
        if news.entries is not None:
            changed = targets.apply_listing(
                news.entries, news.revision, after_outage, now_s
            )
        else:
            changed = targets.apply_changes(news.changes, news.revision, now_s)
        if changed or news.entries is not None:
            self._note_targets(changed)
        if targets.missing and self._expiry is None:
            at_s = max(targets.missing.values())
            self._expiry = self._shell.loop.call_at(at_s + 0.01, self._expire)
        return changed

    def _expire(self):
        self._expiry = None
        targets = self._shell.proxy.targets
        self._note_targets(targets.expire_missing(self._shell.loop.time()))

    def _note_targets(self, changed):
        proxy = self._shell.proxy
        proxy.note_targets(self._shell.loop.time())
        if changed:
            targets = proxy.targets.targets.values()
            fields = {
                "revision": proxy.targets.revision,
                "targets": len(targets),
                "leaving": [item.instance for item in targets if item.leaving],
                "missing": sorted(proxy.targets.missing),
            }
            logger.info("targets changed", extra=fields)
