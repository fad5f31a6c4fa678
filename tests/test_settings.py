"""Tests of settings: order of precedence, and reports of all faults together."""

import unittest

from balsamdeal.errors import SettingsError
from balsamdeal.settings import check_settings, collect_values, make_parser

FLAGS = [
    "--vm=vm-1",
    "--region=great-lakes",
    "--failure-domain=duluth",
    "--service=counter-desk",
    "--caller-address=127.0.0.1:7001",
    "--peer-address=127.0.0.1:7002",
    "--operator-address=127.0.0.1:7003",
    "--target-address=127.0.0.1:7004",
    "--platform-address=127.0.0.1:7000",
]


def parse_settings(flags, environment=None):
    """Return the settings from flags and an environment."""
    arguments = make_parser().parse_args(flags)
    return check_settings(collect_values(arguments, environment or {}))


class SettingsTest(unittest.TestCase):
    """Flags override the environment, which overrides the defaults."""

    def test_flags_override_the_environment_which_overrides_defaults(self):
        environment = {"BALSAMDEAL_VM": "other", "BALSAMDEAL_FLEET_SIZE": "810"}
        settings = parse_settings(FLAGS, environment)
        self.assertEqual(settings.own_vm.name, "vm-1")
        self.assertEqual(settings.fleet_size, 810)
        self.assertEqual(settings.distribution, "tree")

    def test_all_faults_are_reported_at_once(self):
        flags = [*FLAGS[1:], "--fleet-size=many", "--distribution=magic"]
        flags += ["--seeds=nowhere", "--drain-timeout-s=-1"]
        with self.assertRaises(SettingsError) as caught:
            parse_settings(flags)
        text = str(caught.exception)
        for name in ("vm", "fleet-size", "distribution", "seeds", "drain-timeout-s"):
            self.assertIn(f"--{name}", text)
        self.assertEqual(len(caught.exception.faults), 5)

    def test_one_address_for_two_servers_is_a_fault(self):
        flags = [*FLAGS, "--peer-address=127.0.0.1:7001"]
        with self.assertRaises(SettingsError):
            parse_settings(flags)
