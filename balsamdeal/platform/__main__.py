"""Runs a node on the users' platform: ``python3 -m balsamdeal.platform``."""

import asyncio
import sys

from balsamdeal import log
from balsamdeal.platform.messages import HEADERS
from balsamdeal.platform.settings import make_reader
from balsamdeal.platform.store import StoreReader
from balsamdeal.proxydaemon import serve

EXIT_SETTINGS = 2


def main():
    """Run the node; return the exit code."""
    read_settings = make_reader()
    try:
        settings = read_settings()
    except (KeyError, OSError, ValueError) as error:
        print(f"settings: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    log.install(log.NonBlockingHandler(), "info", settings.vm)
    return asyncio.run(serve(settings, HEADERS, StoreReader, read_settings))


if __name__ == "__main__":
    sys.exit(main())
