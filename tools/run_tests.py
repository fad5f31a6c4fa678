"""Runs all tests and ends its output with the line ``N passed, N failed``.

Each test class runs in its own process, several in parallel, longest modules first.
The output of a class is not interleaved with others'. Failures listed in KNOWN-RED.txt
are printed but tolerated; any other failure makes the run fail, and so does a listed
test that does not exist.
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
# Limits parallelism, as tests with real processes need processors for those as well.
MAX_PROCESSES = 4
# Started first, so that the longest modules do not extend the run at its end.
LONG_MODULES = (
    "tests.spec.test_models",
    "tests.core.test_crossings",
    "tests.platform.test_requests",
)
# Run one at a time: fleets of processes under load leave no processor to other tests.
SERIAL_PREFIXES = ("tests.test_processes.", "tests.tools.test_soak.")


class CountingResult(unittest.TextTestResult):
    """Records the ids of tests that passed."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.passed = []

    def addSuccess(self, test):  # noqa: N802
        """Record the id of a passed test."""
        super().addSuccess(test)
        self.passed.append(test.id())


def read_known_red():
    """Return the entries of KNOWN-RED.txt by test id.

    An entry is one line: ``id | command and seed | what was seen | issue``.
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


def run_in_this_process(names):
    """Run tests in this process; print the ids of passed and failed tests as JSON."""
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


def plan_groups(names):
    """Return the test names that run in one process each: classes or whole modules.

    Classes that a library such as hypothesis generates have ids that do not start with
    their test module; modules that contain such classes run as a whole.
    """
    groups = set()
    for name in names:
        ids = list_ids(unittest.TestLoader().loadTestsFromName(name))
        run_whole_module = any(not test_id.startswith("tests.") for test_id in ids)
        if run_whole_module:
            groups.add(name)
        else:
            groups |= {test_id.rpartition(".")[0] for test_id in ids}
    return sorted(groups, key=lambda name: (not name.startswith(LONG_MODULES), name))


def list_test_modules():
    """Return the names of all test modules."""
    files = sorted((ROOT / "tests").rglob("test_*.py"))
    return [".".join(file.relative_to(ROOT).with_suffix("").parts) for file in files]


def run_group(name):
    """Run a group in a child process.

    :return: ids of passed tests, ids of failed tests, and the output. A process that
        prints no result counts as one failure under the group's name.
    """
    command = [sys.executable, "-m", "tools.run_tests", "--here", name]
    done = subprocess.run(
        command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    output, mark, last = done.stdout.rpartition(RESULT_MARK)
    if not mark:
        return set(), {name}, done.stdout
    # Python may write more lines behind the result while the process exits.
    result, _, rest = last.partition("\n")
    outcome = json.loads(result)
    return set(outcome["passed"]), set(outcome["failed"]), output + rest


def run_all(group_names):
    """Run groups, in parallel where possible; return ids of passed and failed tests."""
    serial = [name for name in group_names if name.startswith(SERIAL_PREFIXES)]
    parallel = [name for name in group_names if name not in serial]
    count = max(1, min(MAX_PROCESSES, (os.cpu_count() or 2) - 1))
    passed, failed = run_side_by_side(parallel, count)
    last_passed, last_failed = run_side_by_side(serial, 1)
    return passed | last_passed, failed | last_failed


def run_side_by_side(group_names, count):
    """Run groups, ``count`` at a time; return ids of passed and failed tests."""
    passed, failed = set(), set()
    with ThreadPoolExecutor(count) as pool:
        futures = {pool.submit(run_group, name): name for name in group_names}
        for future in as_completed(futures):
            passing, failing, output = future.result()
            passed |= passing
            failed |= failing
            print(f"{futures[future]}: {len(passing)} passed, {len(failing)} failed")
            if failing:
                print(output)
    return passed, failed


def parse_arguments(argv=None):
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description="Runs the tests.")
    parser.add_argument("--here", action="store_true", help="in this process only")
    parser.add_argument("names", nargs="*", help="tests to run (default: all)")
    return parser.parse_args(argv)


def main(argv=None):
    """Run the tests named on the command line, or all, and return the exit code."""
    arguments = parse_arguments(argv)
    if arguments.here:
        run_in_this_process(arguments.names)
        return 0
    names = arguments.names or list_test_modules()
    ids = set(list_ids(unittest.TestLoader().loadTestsFromNames(names)))
    passed, failed = run_all(plan_groups(names))
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
