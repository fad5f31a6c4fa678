"""Tests of the start of the program."""

import subprocess
import sys
import unittest

from balsamdeal.platform.__main__ import EXIT_SETTINGS
from tools.fleet import ROOT

# Runs the program without settings, and sends the process a signal as soon as it loads
# the first large library.
PROGRAM = """
import os, runpy, signal, sys

class SignalAtImport:
    def find_spec(self, name, path=None, target=None):
        if name == "pydantic":
            os.kill(os.getpid(), signal.SIGHUP)

signal.signal(signal.SIGHUP, signal.SIG_DFL)
sys.meta_path.insert(0, SignalAtImport())
runpy.run_module("balsamdeal.platform", run_name="__main__")
"""


class StartTest(unittest.TestCase):
    """A process that ends for want of settings."""

    # Guards against a process that is ended by a request to reload its settings while
    # it loads its modules.
    def test_reload_request_during_the_start_does_not_end_the_process(self):
        process = subprocess.run(
            [sys.executable, "-c", PROGRAM], cwd=ROOT, env={}, capture_output=True
        )
        self.assertEqual(process.returncode, EXIT_SETTINGS, process.stderr)
