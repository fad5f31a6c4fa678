"""Runs all tests and closes with the line ``N passed, N failed``.

Failures listed in KNOWN-RED.txt are printed and passed over; any other one makes
the run fail. So does a listed test that does not exist.
"""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


class CountingResult(unittest.TextTestResult):
    """Keeps the ids of tests that passed."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.passed = []

    def addSuccess(self, test):  # noqa: N802
        """Note a success."""
        super().addSuccess(test)
        self.passed.append(test.id())


def read_known_red():
    """Return the ids of tests listed as known to fail; one entry a line.

    An entry is ``id | command and seed | what was seen | issue``.
    """
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.split("|")[0].strip(): entry for entry in entries}


def list_ids(suite):
    """Return the ids of all tests of a suite."""
    ids = []
    for item in suite:
        ids += list_ids(item) if isinstance(item, unittest.TestSuite) else [item.id()]
    return ids


def get_test_id(test):
    """Return the id of a test or of the test that a subtest belongs to."""
    return getattr(test, "test_case", test).id()


def main(argv=None):
    """Run the tests named on the command line, or all, and return the exit code."""
    names = sys.argv[1:] if argv is None else argv
    loader = unittest.TestLoader()
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    ids = set(list_ids(suite))
    runner = unittest.TextTestRunner(
        stream=sys.stdout, verbosity=1, resultclass=CountingResult
    )
    result = runner.run(suite)
    failed = {get_test_id(test) for test, _ in result.failures + result.errors}
    failed |= {get_test_id(test) for test in result.unexpectedSuccesses}
    known = read_known_red()
    unknown = failed - set(known)
    for name in sorted(failed & set(known)):
        print(f"known red: {known[name]}")
    missing = set() if names else set(known) - ids
    for name in sorted(missing):
        print(f"KNOWN-RED.txt names a test that does not exist: {name}")
    print(f"{len(set(result.passed) - failed)} passed, {len(failed)} failed")
    return 1 if unknown or missing or not ids else 0


if __name__ == "__main__":
    sys.exit(main())
