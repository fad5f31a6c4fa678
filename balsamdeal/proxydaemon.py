"""Runs a node that forwards by host and path, from its start to its shutdown."""

import asyncio
import logging
import signal

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
# All requests are accepted for this long after a stop request. Later ones are accepted
# only if they can end before the process does.
ACCEPT_ALL_S = 3.0
# New requests are refused at once for this long before the process ends, so that none
# is lost.
REFUSE_S = 0.15
# The process ends this long before the platform would kill it.
KILL_MARGIN_S = 0.4
IDLE_POLL_S = 0.05
SETTINGS_POLL_S = 1.0
# A wake-up of the loop is scheduled at this interval, in seconds. One that is late by
# more than MAX_LOOP_DELAY_S shows that something blocked the loop.
LOOP_CHECK_S = 0.25
MAX_LOOP_DELAY_S = 0.05
# The gap between the VM's boot clock and the loop's clock is checked at this interval,
# in seconds. If it grew by more than the same value, the VM was suspended.
SUSPENSION_S = 0.5


async def drain(shell, sleep=asyncio.sleep):
    """Serve until callers have stopped using this node and no request is in flight.

    It ends KILL_MARGIN_S before the stop bound of the settings at the latest. REFUSE_S
    before its end it answers what is still in flight, and refuses new requests then.

    :param shell: the ``ProxyShell``.
    :param sleep: a coroutine function that sleeps for seconds of the loop's clock;
        tests pass one that advances a fake clock.
    """
    loop = shell.loop
    deadline_s = loop.time() + shell.settings.stop_bound_s - KILL_MARGIN_S - REFUSE_S
    linger_until_s = min(loop.time() + LINGER_S, deadline_s)
    shell.stopping = True
    accept_all_until_s = min(loop.time() + ACCEPT_ALL_S, deadline_s)
    shell.handle(
        request_events.StopRequested(accept_all_until_s, deadline_s, loop.time())
    )
    while loop.time() < linger_until_s:
        if shell.control.failed_probe_rounds >= REMOVAL_PROBES:
            linger_until_s = min(
                linger_until_s, shell.control.last_failed_probe_s + LATE_ARRIVAL_S
            )
        await sleep(IDLE_POLL_S)
    while not shell.is_idle() and loop.time() < deadline_s:
        await sleep(IDLE_POLL_S)
    shell.proxy.refuse_all()
    shell.handle(request_events.StopEnding(loop.time()))
    await sleep(REFUSE_S)


async def serve(settings, names, make_reader, read_settings):
    """Run the node until a signal, drain it and return the exit code.

    :param settings: the ``ProxySettings``.
    :param names: the ``HeaderNames`` of callers and targets.
    :param make_reader: takes the ``ProxyShell`` and returns the client of the source.
    :param read_settings: returns the current settings, or raises ``OSError`` or
        ``ValueError``.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    shell = ProxyShell(settings, names)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
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
    await stop.wait()
    await drain(shell)
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
