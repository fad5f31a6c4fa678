"""Tests of configurations as documents: complete ones, and differences."""

import unittest
from dataclasses import replace

from balsamdeal.core.route_documents import make_document, read_configuration
from balsamdeal.core.routes import Backend
from balsamdeal.documents import apply_delta, build_document, compute_delta
from balsamdeal.errors import ContentError
from tests.core.test_routes import make_configuration, make_route


class RouteDocumentsTest(unittest.TestCase):
    """A configuration survives the conversion to a document and back."""

    def setUp(self):
        self.first = make_configuration(
            3, make_route("a", "/a/"), make_route("b", "/b/"), make_route("root", "/")
        )
        self.document = make_document(self.first)

    def apply_difference(self, configuration):
        """Return the configuration as read from the difference, and the difference."""
        delta = compute_delta(self.document, make_document(configuration))
        document = apply_delta(self.document, delta)
        known = (self.document, self.first)
        return read_configuration(document, known), delta

    def test_complete_document(self):
        self.assertEqual(read_configuration(self.document), self.first)

    def test_added_changed_and_removed_routes(self):
        changed = replace(
            make_route("b", "/b/"), backends=(Backend("desk", 9), Backend("board", 1))
        )
        updated = make_configuration(4, make_route("a", "/a/"), changed)
        updated.hosts["new.example"] = {"/n/": make_route("n", "/n/")}
        found, delta = self.apply_difference(updated)
        self.assertEqual(found, updated)
        changed = {"shop.example/b/", "new.example/n/", "services"}
        self.assertEqual(set(delta.changed), changed)
        self.assertEqual(delta.removed, ("shop.example/",))

    def test_known_configuration_is_not_modified(self):
        before = read_configuration(self.document)
        self.apply_difference(make_configuration(4, make_route("a", "/a/")))
        self.assertEqual(self.first, before)

    def test_host_without_routes_is_removed(self):
        updated = make_configuration(4)
        updated.hosts.clear()
        updated.hosts["new.example"] = {"/": make_route("n", "/")}
        self.assertEqual(self.apply_difference(updated)[0].hosts, updated.hosts)

    def test_limits_and_services(self):
        limits = replace(self.first.limits, body_bytes=77)
        updated = replace(self.first, version=4, limits=limits, services=frozenset("x"))
        self.assertEqual(self.apply_difference(updated)[0], updated)

    def test_invalid_or_missing_parts_are_rejected(self):
        for name, text in (("h/a/", "{}"), ("limits", "[1, 2, 3, 4, 5, 6]")):
            parts = {**self.document.parts, name: text}
            with self.subTest(name), self.assertRaises(ContentError):
                read_configuration(build_document(5, parts))
        route_parts_only = {
            key: text for key, text in self.document.parts.items() if "/" in key
        }
        with self.assertRaises(ContentError):
            read_configuration(build_document(5, route_parts_only))
