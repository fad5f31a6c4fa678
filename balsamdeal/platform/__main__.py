"""Runs a node on the users' platform: ``python3 -m balsamdeal.platform``."""

import signal

if __name__ == "__main__":
    # A request to reload the settings would end the process until its handler is in
    # place. The settings are read later, so nothing is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

# isort: split
import argparse  # noqa: E402
import asyncio  # noqa: E402
import sys  # noqa: E402

from balsamdeal import log  # noqa: E402
from balsamdeal.platform.messages import HEADERS  # noqa: E402
from balsamdeal.platform.settings import make_reader  # noqa: E402
from balsamdeal.platform.store import StoreReader  # noqa: E402
from balsamdeal.proxydaemon import serve  # noqa: E402
from balsamdeal.runtime import make_loop  # noqa: E402

EXIT_SETTINGS = 2


def parse_arguments(argv=None):
    """Return the arguments of the command line.

    :param argv: the command line without the program's name.
    """
    parser = argparse.ArgumentParser(
        prog="balsamdeal.platform",
        description="One node on the users' platform, set up by its settings file.",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=0,
        help="port for metrics, on the VM's address (default: none)",
    )
    return parser.parse_args(argv)


def main(argv=None):
    """Run the node; return the exit code.

    :param argv: the command line without the program's name.
    """
    arguments = parse_arguments(argv)
    read_settings = make_reader(arguments.metrics_port)
    try:
        settings = read_settings()
    except (KeyError, OSError, ValueError) as error:
        print(f"settings: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    log.install(log.NonBlockingHandler(), "info", settings.vm)
    with asyncio.Runner(loop_factory=make_loop) as runner:
        return runner.run(serve(settings, HEADERS, StoreReader, read_settings))


if __name__ == "__main__":
    sys.exit(main())
