"""Runs a node that forwards by host and path, from its start to the end of a stop."""

import asyncio
import logging
import signal

from balsamdeal.core import traffic
from balsamdeal.net.feed import Feed
from balsamdeal.net.proxying import ProxyShell
from balsamdeal.runtime import exempt_startup_objects, read_boot_clock_s

logger = logging.getLogger(__name__)

EXIT_ADDRESS = 3
# Callers hear of a stop by two missed questions for readiness, a second apart; what
# they sent before that is on its way a little longer.
MISSES_TO_LEAVE = 2
LEAVE_S = 0.5
# The same where nobody asks for readiness.
LINGER_S = 3.2
# Everything is taken for this long after a request to stop. Later ones must end before
# the process does.
OPEN_S = 3.0
# Everything new is refused at once for this long before the end, so that none is lost.
REFUSE_S = 0.15
# The end comes this long before a kill.
KILL_MARGIN_S = 0.4
IDLE_POLL_S = 0.05
SETTINGS_POLL_S = 1.0
# The loop is asked for a wake-up this often; one that comes later than the bound below
# tells that something held the loop, in seconds.
LOOP_POLL_S = 0.25
LOOP_HELD_S = 0.05
# A larger gap between the VM's clock and the loop's is a suspension, in seconds.
SUSPENSION_S = 0.5


async def drain(shell, sleep=asyncio.sleep):
    """Serve on while callers leave, then wait for what is in flight.

    :param shell: the ``ProxyShell``.
    :param sleep: waits for seconds of the loop; tests advance their clock by it.
    """
    loop = shell.loop
    bound_s = loop.time() + shell.settings.stop_bound_s - KILL_MARGIN_S - REFUSE_S
    linger_s = min(loop.time() + LINGER_S, bound_s)
    shell.stopping = True
    open_until_s = min(loop.time() + OPEN_S, bound_s)
    shell.handle(traffic.StopRequested(open_until_s, bound_s, loop.time()))
    while loop.time() < linger_s:
        if shell.control.misses >= MISSES_TO_LEAVE:
            linger_s = min(linger_s, shell.control.missed_s + LEAVE_S)
        await sleep(IDLE_POLL_S)
    while not shell.proxy.is_idle() and loop.time() < bound_s:
        await sleep(IDLE_POLL_S)
    shell.proxy.refuse_all()
    await sleep(REFUSE_S)


async def serve(settings, names, make_reader, read_settings):
    """Run the node until a signal; return the exit code.

    :param settings: the ``ProxySettings``.
    :param names: the ``HeaderNames`` of callers and targets.
    :param make_reader: takes the shell and returns the source's client.
    :param read_settings: returns the settings as they are now.
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
    feed = Feed(shell, reader, settings.seed)
    feed.start()
    shell.follower.start(reader.read_configuration)
    followers = [
        loop.create_task(_follow_settings(shell, reload, read_settings)),
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
    logger.info("stopped", extra={"idle": shell.proxy.is_idle()})
    return 0


async def _follow_settings(shell, reload, read_settings):
    """Take up settings that change, at a signal or without one."""
    while True:
        try:
            await asyncio.wait_for(reload.wait(), SETTINGS_POLL_S)
            reload.clear()
        except TimeoutError:
            pass  # the regular look, for changes that no signal tells of
        try:
            settings = read_settings()
        except (OSError, ValueError) as error:
            logger.error("settings kept", extra={"reason": str(error)})
            continue
        if settings != shell.settings:
            shell.settings = settings
            logger.info("settings reloaded", extra={"service": settings.service})


async def _watch_suspensions(shell, feed):
    """After a suspension of the VM, read the source anew and leave old connections.

    The loop's clock stands still in a suspension, so no timer tells of it.
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
    """Count and log the times for which something held the loop."""
    while True:
        due_s = shell.loop.time() + LOOP_POLL_S
        await asyncio.sleep(LOOP_POLL_S)
        held_s = shell.loop.time() - due_s
        if held_s > LOOP_HELD_S:
            held_ms = round(held_s * 1000)
            shell.metrics.count("loop_held_ms", held_ms)
            logger.warning("loop was held", extra={"ms": held_ms})
