"""Tests of the settings file of the platform."""

import json
import os
import tempfile
import unittest
from unittest import mock

from balsamdeal.platform.settings import PATH_VARIABLE, make_reader


def make_settings(**changes):
    """Return the fields of a settings file that the node uses."""
    return {
        "node-name": "sidecar-1",
        "zone": "erie",
        "service": "desk",
        "app-address": "10.0.0.9:8147",
        "listen": {
            "outbound": "10.0.0.9:8141",
            "inbound": "10.0.0.9:8145",
            "ready-address": "10.0.0.9:8140",
        },
        "platform": {"address": "10.0.0.1:8142"},
        **changes,
    }


class SettingsTest(unittest.TestCase):
    """Invalid settings are errors, so that the previous ones stay in force."""

    def read(self, content):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(content)
            file.flush()
            with mock.patch.dict(os.environ, {PATH_VARIABLE: file.name}):
                return make_reader(0)()

    def test_addresses_of_the_file_are_taken(self):
        settings = self.read(json.dumps(make_settings()))
        self.assertEqual(settings.target_address, "10.0.0.9:8147")
        self.assertEqual(settings.source_address, "10.0.0.1:8142")

    # Guards against a node that answers nothing after a reload of settings with an
    # address that no socket takes.
    def test_address_that_no_socket_takes_is_invalid(self):
        for changes in (
            {"app-address": "10.0.0.9:99999"},
            {"app-address": "10.0.0.900:80"},
            {"platform": {"address": "10.0.0.1:0"}},
        ):
            with self.subTest(changes), self.assertRaises(ValueError):
                self.read(json.dumps(make_settings(**changes)))

    def test_number_that_no_float_holds_is_invalid(self):
        content = json.dumps(make_settings(bounds={"grace-s": 7.5}))
        self.assertEqual(self.read(content).stop_bound_s, 7.5)
        with self.assertRaises(ValueError):
            self.read(content.replace("7.5", "1e400"))
