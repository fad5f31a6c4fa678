"""Tests of the operators' tool and the daemon: exit codes, JSON output, nodes."""

import contextlib
import io
import json
import tempfile
import time
import unittest
from pathlib import Path

from balsamdeal import cli, daemon
from tests.platform.test_messages import make_configuration, make_route
from tools.fleet import ROOT, Fleet

EXAMPLE_FOLDER = ROOT / "examples" / "lakeshore"


def run(main, *arguments):
    """Run a program's ``main``; return its exit code, standard output and error."""
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        try:
            code = main(list(map(str, arguments)))
        except SystemExit as error:
            code = error.code
    return code, output.getvalue(), errors.getvalue()


class OfflineTest(unittest.TestCase):
    """Commands that need no node, and nodes that do not answer."""

    def test_validate_and_render(self):
        code, output, _ = run(cli.main, "validate", "--json", EXAMPLE_FOLDER)
        self.assertEqual((code, json.loads(output)["valid"]), (0, True))
        code, output, _ = run(cli.main, "render", "--json", EXAMPLE_FOLDER)
        self.assertEqual((code, len(json.loads(output))), (0, 5))
        code, output, _ = run(cli.main, "validate", "--json", ROOT / "docs")
        self.assertEqual((code, json.loads(output)["fault"]["step"]), (1, "read"))

    def test_validate_and_explain_a_platform_file(self):
        raw_route = make_route("/a/", service="desk")
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(make_configuration(0x1F, raw_route)))
            code, output, _ = run(cli.main, "validate", "--json", path)
            self.assertEqual((code, json.loads(output)["version"]), (0, 31))
            arguments = ("explain", "--json", path, "shop.example")
            code, output, _ = run(cli.main, *arguments, "/a/x")
            self.assertEqual((code, json.loads(output)["route"]), (0, "rule /a/"))
            self.assertEqual(run(cli.main, *arguments, "/b/")[0], 1)
            path.write_text("{")
            self.assertEqual(run(cli.main, "validate", path)[0], 1)

    def test_invalid_usage_exits_with_two(self):
        self.assertEqual(run(cli.main, "status")[0], 2)
        self.assertEqual(run(cli.main, "wait", "many", "127.0.0.1:1")[0], 2)

    def test_daemon_reports_all_faults_and_exits_with_two(self):
        code, _, errors = run(daemon.main, "--fleet-size", "none")
        self.assertEqual(code, 2)
        self.assertIn("--vm: is required", errors)
        self.assertIn("--fleet-size: 'none' is not a number", errors)

    def test_unreachable_node_is_a_negative_result(self):
        self.assertEqual(run(cli.main, "status", "127.0.0.1:9")[0], 1)
        self.assertEqual(run(cli.main, "metrics", "127.0.0.1:9")[0], 1)


class NodeTest(unittest.TestCase):
    """The operators' tool with two running nodes."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(EXAMPLE_FOLDER, 2)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start(targets=False)
        cls.nodes = [member.operator_address for member in cls.fleet.members]

    def test_status_of_each_node(self):
        code, output, _ = run(cli.main, "status", "--json", *self.nodes)
        revisions = {
            node["channels"]["config"]["revision"]
            for node in json.loads(output).values()
        }
        self.assertEqual((code, len(revisions)), (0, 1))

    def test_explain_names_route_service_and_candidates(self):
        arguments = ("explain", "--json", self.nodes[0], "member-counters")
        code, output, _ = run(cli.main, *arguments, "/tickets/1")
        answer = json.loads(output)
        self.assertEqual((code, answer["service"]), (0, "counter-desk"))
        self.assertTrue(answer["candidates"][0]["usable"])
        self.assertEqual(run(cli.main, *arguments, "/nowhere")[0], 1)

    def test_wait_ends_with_the_revision_or_the_timeout(self):
        text = self.fleet.parts["workspaces/customers.yaml"] + "# edited\n"
        revision = self.fleet.publish(**{"workspaces/customers.yaml": text})
        code, output, _ = run(cli.main, "wait", revision, *self.nodes)
        self.assertEqual(code, 0)
        self.assertIn("in force on 2 of 2 nodes", output)
        arguments = ("wait", "--timeout-s", "0.3", revision + 100, *self.nodes)
        self.assertEqual(run(cli.main, *arguments)[0], 1)

    def wait_for_metrics(self, name):
        """Return the metrics text once it contains ``name``, or after 10 s.

        A node may get its first version from a peer and read the source later.
        """
        deadline_s = time.monotonic() + 10.0
        while True:
            code, output, _ = run(cli.main, "metrics", self.nodes[0])
            self.assertEqual(code, 0)
            if name in output or time.monotonic() > deadline_s:
                return output
            time.sleep(0.05)

    def test_metrics_in_both_formats(self):
        output = self.wait_for_metrics("balsamdeal_source_reads_total")
        self.assertIn("balsamdeal_source_reads_total", output)
        code, output, _ = run(cli.main, "metrics", "--json", self.nodes[0])
        self.assertIn("source_reads", json.loads(output)["counters"])
