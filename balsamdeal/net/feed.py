"""Follows the source of configurations and targets: reads, watches, pauses, backoff.

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

# How long a watch waits for news. Keep-alive probes find a silent connection sooner.
WATCH_S = 25.0
# After news a watch pauses, so that a storm of changes becomes a few reads. It stays
# far below the two seconds in which a configuration must be in force.
CONFIGURATION_PAUSE_S = 0.8
TARGETS_PAUSE_S = 0.5
# Full jitter between attempts: base, doubled with each failure up to the longest.
RETRY_BASE_S = 0.1
RETRY_MAX_S = 0.8
# Entries cannot lapse in an outage shorter than this: it is below one heartbeat.
SHORT_OUTAGE_S = 1.0
# Failures that are noticed at once. Others may have begun long before.
PROMPT_STEPS = frozenset({"read", REFUSED, "kv-watch", "kv-range", "kv-key"})


@dataclass(frozen=True, slots=True)
class Outage:
    """When the source was first found away, and at which step."""

    since_s: float
    step: str

    def is_long(self, now_s):
        """Return whether entries may have lapsed in it."""
        return now_s - self.since_s > SHORT_OUTAGE_S or self.step not in PROMPT_STEPS


class Feed:
    """Two loops that bring news to the request path.

    :param shell: the ``ProxyShell``.
    :param reader: the source's client.
    :param seed: the seed of the jitter.
    """

    def __init__(self, shell, reader, seed):
        self._shell = shell
        self._reader = reader
        self._random = Random(seed)
        self._tasks = []
        self._expiry = None

    def start(self):
        """Start to follow the source."""
        loop = self._shell.loop
        follow = (
            ("configuration", self._step_configuration, CONFIGURATION_PAUSE_S),
            ("targets", self._step_targets, TARGETS_PAUSE_S),
        )
        for name, step, pause_s in follow:
            self._tasks.append(loop.create_task(self._follow(name, step, pause_s)))

    def stop(self):
        """Stop to follow it."""
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()

    def restart(self):
        """Read everything anew, on new connections."""
        self.stop()
        self._reader.drop_connections()
        self.start()

    async def _follow(self, name, step, pause_s):
        revision = None
        failures = 0
        outage = None
        while True:
            try:
                relist = failures > 0
                long = relist and outage.is_long(self._shell.loop.time())
                revision, changed = await step(None if relist else revision, long)
            except HistoryLostError as error:
                logger.info("source lost its history", extra={"reason": str(error)})
                revision = None
                await asyncio.sleep(RETRY_BASE_S)
                continue
            except SourceError as error:
                if not failures:
                    outage = Outage(self._shell.loop.time(), error.step)
                failures += 1
                self._note_failure(name, failures, error)
                bound_s = min(RETRY_MAX_S, RETRY_BASE_S * 2**failures)
                await asyncio.sleep(self._random.uniform(bound_s / 4, bound_s))
                continue
            if failures:
                logger.info("source is back", extra={"channel": name})
                failures = 0
            if changed:
                await asyncio.sleep(pause_s)

    def _note_failure(self, name, failures, error):
        self._shell.metrics.count(f"source_failures_{name}")
        if failures == 1:
            reason = {"channel": name, "reason": str(error)}
            logger.warning("source is away", extra=reason)

    async def _step_configuration(self, revision, after_outage):
        if revision is None:
            found, revision = await self._reader.read_configuration()
            found = [] if found is None else [found]
        else:
            found, revision = await self._reader.watch_configuration(revision, WATCH_S)
        for configuration in found:
            self._apply(configuration)
        return revision, bool(found)

    def _apply(self, configuration):
        shell = self._shell
        before = shell.proxy.calls.configuration
        fields = {
            "version": configuration.version,
            "before": before.version if before else None,
            "routes": sum(len(routes) for routes in configuration.hosts.values()),
        }
        if shell.proxy.apply_configuration(configuration):
            shell.apply_limits()
            logger.info("configuration in force", extra=fields)
        elif before.version != configuration.version:
            shell.metrics.count("older_configurations")
            logger.warning("older configuration ignored", extra=fields)

    async def _step_targets(self, revision, after_outage):
        shell = self._shell
        targets = shell.proxy.targets
        if revision is None:
            entries, revision = await self._reader.list_targets()
            changed = targets.apply_listing(
                entries, revision, after_outage, shell.loop.time()
            )
        else:
            changes, revision = await self._reader.watch_targets(revision, WATCH_S)
            changed = targets.apply_changes(changes, revision, shell.loop.time())
        self._note_targets(changed)
        if targets.missing and self._expiry is None:
            at_s = max(targets.missing.values())
            self._expiry = shell.loop.call_at(at_s + 0.01, self._expire)
        return revision, changed

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
