"""Runs all tests and closes with the line ``N passed, N failed``.

Test classes run side by side in processes of their own, longest modules first. The
output of each is kept whole. Failures listed in KNOWN-RED.txt are printed and passed
over; any other one makes the run fail. So does a listed test that does not exist.
"""

import argparse
import json
import os
import subprocess
import sys
import unittest
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
RESULT_MARK = "result: "
# Tests with real processes need processors of their own beside the runner's.
MAX_PROCESSES = 4
# Begun first, so that the longest do not end last.
LONG_MODULES = (
    "tests.spec.test_models",
    "tests.core.test_crossings",
    "tests.platform.test_requests",
)
# Fleets of real processes under load leave no processor for other tests.
ALONE = ("tests.test_processes.", "tests.tools.test_soak.")


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


def run_here(names):
    """Run tests in this process; print ids of those that passed and failed."""
    suite = unittest.TestLoader().loadTestsFromNames(names)
    runner = unittest.TextTestRunner(
        stream=sys.stdout, verbosity=1, resultclass=CountingResult
    )
    result = runner.run(suite)
    failed = {get_test_id(test) for test, _ in result.failures + result.errors}
    failed |= {get_test_id(test) for test in result.unexpectedSuccesses}
    passed = set(result.passed) - failed
    outcome = {"passed": sorted(passed), "failed": sorted(failed)}
    print(RESULT_MARK + json.dumps(outcome), flush=True)


def find_groups(names):
    """Return what to run in a process each: classes, or modules of made classes.

    Classes that a library makes, as hypothesis does, have ids that name no module of
    the tests; their modules are run whole.
    """
    groups = set()
    for name in names:
        ids = list_ids(unittest.TestLoader().loadTestsFromName(name))
        whole = any(not test_id.startswith("tests.") for test_id in ids)
        if whole:
            groups.add(name)
        else:
            groups |= {test_id.rpartition(".")[0] for test_id in ids}
    return sorted(groups, key=lambda name: (not name.startswith(LONG_MODULES), name))


def list_test_modules():
    """Return the names of all modules of tests."""
    files = sorted((ROOT / "tests").rglob("test_*.py"))
    return [".".join(file.relative_to(ROOT).with_suffix("").parts) for file in files]


def run_class(name):
    """Run a class in a process; return its ids passed and failed, and its output."""
    command = [sys.executable, "-m", "tools.run_tests", "--here", name]
    done = subprocess.run(
        command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    output, mark, last = done.stdout.rpartition(RESULT_MARK)
    if not mark:
        return set(), {name}, done.stdout
    outcome = json.loads(last)
    return set(outcome["passed"]), set(outcome["failed"]), output


def run_all(classes):
    """Run classes, side by side where they allow it; return ids passed and failed."""
    alone = [name for name in classes if name.startswith(ALONE)]
    shared = [name for name in classes if name not in alone]
    count = max(1, min(MAX_PROCESSES, (os.cpu_count() or 2) - 1))
    passed, failed = run_side_by_side(shared, count)
    last_passed, last_failed = run_side_by_side(alone, 1)
    return passed | last_passed, failed | last_failed


def run_side_by_side(classes, count):
    """Run classes in so many processes; return all ids passed and failed."""
    passed, failed = set(), set()
    with ThreadPoolExecutor(count) as pool:
        futures = {pool.submit(run_class, name): name for name in classes}
        for future in as_completed(futures):
            good, bad, output = future.result()
            passed |= good
            failed |= bad
            print(f"{futures[future]}: {len(good)} passed, {len(bad)} failed")
            if bad:
                print(output)
    return passed, failed


def parse_arguments(argv=None):
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(description="Runs the tests.")
    parser.add_argument("--here", action="store_true", help="in this process only")
    parser.add_argument("names", nargs="*", help="tests to run (default: all)")
    return parser.parse_args(argv)


def main(argv=None):
    """Run the tests named on the command line, or all, and return the exit code."""
    arguments = parse_arguments(argv)
    if arguments.here:
        run_here(arguments.names)
        return 0
    names = arguments.names or list_test_modules()
    ids = set(list_ids(unittest.TestLoader().loadTestsFromNames(names)))
    passed, failed = run_all(find_groups(names))
    known = read_known_red()
    for name in sorted(failed & set(known)):
        print(f"known red: {known[name]}")
    missing = set() if arguments.names else set(known) - ids
    for name in sorted(missing):
        print(f"KNOWN-RED.txt names a test that does not exist: {name}")
    not_run = set() if arguments.names else ids - passed - failed
    for name in sorted(not_run):
        print(f"not run: {name}")
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if failed - set(known) or missing or not_run or not ids else 0


if __name__ == "__main__":
    sys.exit(main())
