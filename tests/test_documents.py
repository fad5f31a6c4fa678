"""Tests of documents and deltas."""

import unittest

from balsamdeal.documents import (
    Delta,
    Version,
    apply_delta,
    build_document,
    compute_delta,
)
from balsamdeal.errors import DocumentError


class DeltaTest(unittest.TestCase):
    """Applying a delta yields the complete document or an error."""

    def setUp(self):
        self.base = build_document(1, {"a": "1", "b": "2"})
        self.next = build_document(2, {"a": "1", "c": "3"})

    def test_delta_holds_only_changes_and_yields_the_document(self):
        delta = compute_delta(self.base, self.next)
        self.assertEqual(delta.changed, {"c": "3"})
        self.assertEqual(delta.removed, ("b",))
        self.assertEqual(apply_delta(self.base, delta), self.next)

    def test_whole_document_needs_no_base(self):
        self.assertEqual(apply_delta(None, compute_delta(None, self.next)), self.next)

    def test_delta_on_another_base_is_refused(self):
        delta = compute_delta(self.base, self.next)
        with self.assertRaises(DocumentError):
            apply_delta(build_document(1, {"x": "y"}), delta)

    def test_incomplete_delta_is_refused(self):
        delta = compute_delta(self.base, self.next)
        incomplete = Delta(delta.base, delta.version, {}, delta.removed)
        with self.assertRaises(DocumentError):
            apply_delta(self.base, incomplete)

    def test_order_of_versions_is_total(self):
        self.assertLess(Version(1, "b"), Version(2, "a"))
        self.assertLess(Version(2, "a"), Version(2, "b"))
