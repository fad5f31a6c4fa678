"""The ``balsamdeald`` daemon: runs one node, beside one target VM."""

import asyncio
import dataclasses
import logging
import os
import secrets
import signal
import sys

from balsamdeal import log
from balsamdeal.core import events
from balsamdeal.errors import SettingsError
from balsamdeal.net.servers import listen
from balsamdeal.net.shell import Shell
from balsamdeal.runtime import exempt_startup_objects
from balsamdeal.settings import check_settings, collect_values, make_parser

logger = logging.getLogger(__name__)

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3
EXIT_FORCED = 4
IDLE_POLL_S = 0.02
LINGER_S = 0.1


def parse_arguments(argv=None):
    """Return validated settings from flags and the environment.

    :param argv: the command line without the program's name.
    :raises SettingsError: with all faults, when a setting is invalid.
    """
    arguments = make_parser().parse_args(argv)
    return check_settings(collect_values(arguments, os.environ))


async def drain(shell, servers, timeout_s):
    """Refuse new work and wait until the work in flight has ended and its answers left.

    :param shell: the running ``Shell``.
    :param servers: its servers, see ``net.servers.listen``.
    :param timeout_s: the longest wait for that work, in seconds; LINGER_S is added.
    """
    loop = shell.loop
    shell.handle(events.DrainRequested(loop.time()))
    deadline_s = loop.time() + timeout_s
    # Leave time for responses that carry the draining state to callers and peers.
    await asyncio.sleep(LINGER_S)

    def is_idle():
        is_writing = any(server.is_writing() for server in servers)
        return shell.node.is_idle() and not is_writing

    while not is_idle() and loop.time() < deadline_s:
        await asyncio.sleep(IDLE_POLL_S)
    await asyncio.sleep(LINGER_S)


async def serve(settings):
    """Run the node until a signal, drain it and return the exit code.

    A second signal ends the drain at once.

    :param settings: validated settings.
    """
    loop = asyncio.get_running_loop()
    signals = asyncio.Queue()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    shell = Shell(settings)
    try:
        servers = listen(shell)
    except OSError as error:
        logger.error("cannot listen", extra={"reason": str(error)})
        return EXIT_ADDRESS
    exempt_startup_objects()
    shell.start()
    await signals.get()
    draining = loop.create_task(drain(shell, servers, settings.drain_timeout_s))
    forced = loop.create_task(signals.get())
    await asyncio.wait({draining, forced}, return_when=asyncio.FIRST_COMPLETED)
    code = 0 if draining.done() else EXIT_FORCED
    for server in servers:
        server.stop()
    shell.stop()
    logger.info("stopped", extra={"code": code})
    return code


def main(argv=None):
    """Run the daemon; return its exit code.

    :param argv: the command line without the program's name.
    """
    try:
        settings = parse_arguments(argv)
    except SettingsError as error:
        for fault in error.faults:
            print(f"balsamdeald: {fault}", file=sys.stderr)
        return EXIT_SETTINGS
    if settings.seed == 0:
        settings = dataclasses.replace(settings, seed=secrets.randbits(63))
    log.configure(settings.log_level, settings.own_vm.name)
    return asyncio.run(serve(settings))


if __name__ == "__main__":
    sys.exit(main())
