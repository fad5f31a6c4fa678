"""Runs a node that forwards by host and path, from its start to its shutdown."""

import asyncio
import logging
import signal
from dataclasses import dataclass

from balsamdeal.core import request_events
from balsamdeal.net.feed import TargetFeed
from balsamdeal.net.proxying import ProxyShell
from balsamdeal.runtime import exempt_startup_objects, read_boot_clock_s

logger = logging.getLogger(__name__)

EXIT_ADDRESS = 3
# Callers stop using this node after two failed readiness probes, a second apart.
# Requests that they sent before that may arrive for LATE_ARRIVAL_S after the second.
REMOVAL_PROBES = 2
LATE_ARRIVAL_S = 0.5
# Time for callers to stop using this node where no readiness probes arrive.
LINGER_S = 3.2
# All requests are accepted for this long after a stop request, or for this share of the
# time until a kill. Later ones are accepted only if they can end before the process
# does: operators expect that of requests that are sent later than 3 s after the signal.
ACCEPT_ALL_S = 2.9
ACCEPT_ALL_SHARE = 0.5
# New requests are refused at once for this long before the process ends, so that none
# is lost.
REFUSE_S = 0.15
# The process ends this long before the platform would kill it.
KILL_MARGIN_S = 0.4
# Both margins together are at most this share of the time until a kill: operators
# expect that runs go on until the last sixth of it.
MARGINS_SHARE = 0.1
IDLE_POLL_S = 0.05
SETTINGS_POLL_S = 1.0
# A wake-up of the loop is scheduled at this interval, in seconds. One that is late by
# more than MAX_LOOP_DELAY_S shows that something blocked the loop.
LOOP_CHECK_S = 0.25
MAX_LOOP_DELAY_S = 0.05
# The gap between the VM's boot clock and the loop's clock is checked at this interval,
# in seconds. If it grew by more than the same value, the VM was suspended.
SUSPENSION_S = 0.5


@dataclass(frozen=True, slots=True)
class StopPlan:
    """The times of a stop, in seconds of the loop's clock.

    All requests are accepted until ``accept_all_until_s``, and none later than
    ``refuse_s``, when those in flight are answered. The process ends at ``end_s``.
    """

    accept_all_until_s: float
    refuse_s: float
    end_s: float

    @classmethod
    def from_config(cls, settings, signalled_s):
        """Return the plan of a stop.

        :param settings: the ``ProxySettings``.
        :param signalled_s: when the signal came, by the loop's time in seconds.
        """
        bound_s = settings.stop_bound_s
        share = min(1.0, MARGINS_SHARE * bound_s / (KILL_MARGIN_S + REFUSE_S))
        end_s = signalled_s + bound_s - share * KILL_MARGIN_S
        accept_all_s = min(ACCEPT_ALL_S, ACCEPT_ALL_SHARE * bound_s)
        return cls(signalled_s + accept_all_s, end_s - share * REFUSE_S, end_s)


async def drain(shell, signalled_s=None, sleep=asyncio.sleep):
    """Serve until callers have stopped using this node and no request is in flight.

    It answers what is still in flight, and refuses new requests, shortly before it has
    to end; see ``StopPlan``.

    :param shell: the ``ProxyShell``.
    :param signalled_s: when the stop signal came, by the loop's time in seconds; None
        for now.
    :param sleep: a coroutine function that sleeps for seconds of the loop's clock;
        tests pass one that advances a fake clock.
    """
    loop = shell.loop
    if signalled_s is None:
        signalled_s = loop.time()
    plan = StopPlan.from_config(shell.settings, signalled_s)
    linger_until_s = min(loop.time() + LINGER_S, plan.refuse_s)
    shell.stopping = True
    shell.handle(
        request_events.StopRequested(
            plan.accept_all_until_s, plan.refuse_s, loop.time()
        )
    )
    while loop.time() < linger_until_s:
        if shell.control.failed_probe_rounds >= REMOVAL_PROBES:
            linger_until_s = min(
                linger_until_s, shell.control.last_failed_probe_s + LATE_ARRIVAL_S
            )
        await sleep(IDLE_POLL_S)
    while not shell.is_idle() and loop.time() < plan.refuse_s:
        await sleep(IDLE_POLL_S)
    shell.proxy.refuse_all()
    shell.handle(request_events.StopEnding(loop.time()))
    await sleep(plan.end_s - plan.refuse_s)


class StopSignals:
    """Notes when the first stop signal came, also while the loop is held.

    :param loop: the event loop.
    """

    def __init__(self, loop):
        self._loop = loop
        self._event = asyncio.Event()
        self.signalled_s = None
        for number in (signal.SIGTERM, signal.SIGINT):
            # The loop's handler wakes it up; its own is called between two
            # instructions of Python, so that its time is that of the signal.
            loop.add_signal_handler(number, self._event.set)
            signal.signal(number, self._note_time)

    def _note_time(self, number, frame):
        if self.signalled_s is None:
            self.signalled_s = self._loop.time()

    async def wait(self):
        """Wait for a signal; return when it came, by the loop's time in seconds."""
        await self._event.wait()
        return self.signalled_s


async def serve(settings, names, make_reader, read_settings):
    """Run the node until a signal, drain it and return the exit code.

    :param settings: the ``ProxySettings``.
    :param names: the ``HeaderNames`` of callers and targets.
    :param make_reader: takes the ``ProxyShell`` and returns the client of the source.
    :param read_settings: returns the current settings, or raises ``OSError`` or
        ``ValueError``.
    """
    loop = asyncio.get_running_loop()
    stop_signals = StopSignals(loop)
    shell = ProxyShell(settings, names)
    reload = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    try:
        shell.listen()
    except OSError as error:
        logger.error("cannot listen", extra={"reason": str(error)})
        return EXIT_ADDRESS
    reader = make_reader(shell)
    feed = TargetFeed(shell, reader, settings.seed)
    feed.start()
    shell.replicator.start(reader.read_configuration)
    followers = [
        loop.create_task(_poll_settings(shell, reload, read_settings)),
        loop.create_task(_watch_suspensions(shell, feed)),
        loop.create_task(_watch_loop(shell)),
    ]
    exempt_startup_objects()
    fields = {"service": settings.service, "link_mbps": settings.link_mbps}
    logger.info("started", extra=fields)
    await drain(shell, await stop_signals.wait())
    for follower in followers:
        follower.cancel()
    feed.stop()
    shell.stop()
    logger.info("stopped", extra={"idle": shell.is_idle()})
    return 0


async def _poll_settings(shell, reload, read_settings):
    """Apply changed settings, at SIGHUP and at regular intervals.

    Settings that cannot be read or are invalid leave the previous ones in force.
    """
    while True:
        try:
            await asyncio.wait_for(reload.wait(), SETTINGS_POLL_S)
            reload.clear()
        except TimeoutError:
            pass  # the regular check, for changes without a signal
        try:
            settings = read_settings()
        except (OSError, ValueError) as error:
            logger.error(
                "cannot reload settings, keeping the previous ones",
                extra={"reason": str(error)},
            )
            continue
        if settings != shell.settings:
            shell.settings = settings
            logger.info("settings reloaded", extra={"service": settings.service})


async def _watch_suspensions(shell, feed):
    """After a suspension of the VM, drop idle connections and restart the feed.

    The loop's clock stops during a suspension, so no timer of the loop detects it.
    The restarted feed reads the source anew.
    """
    gap_s = read_boot_clock_s() - shell.loop.time()
    while True:
        await asyncio.sleep(SUSPENSION_S)
        before_s, gap_s = gap_s, read_boot_clock_s() - shell.loop.time()
        if gap_s - before_s > SUSPENSION_S:
            logger.warning("resumed", extra={"away_s": round(gap_s - before_s, 2)})
            shell.drop_idle_connections()
            feed.restart()


async def _watch_loop(shell):
    """Count and log the milliseconds for which something blocked the loop."""
    while True:
        due_s = shell.loop.time() + LOOP_CHECK_S
        await asyncio.sleep(LOOP_CHECK_S)
        delay_s = shell.loop.time() - due_s
        if delay_s > MAX_LOOP_DELAY_S:
            delay_ms = round(delay_s * 1000)
            shell.metrics.count("loop_held_ms", delay_ms)
            logger.warning("loop was held", extra={"ms": delay_ms})
