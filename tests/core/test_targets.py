"""Tests of the list of targets under stale reads, outages and other writers."""

import unittest

from balsamdeal.core.targets import RELIST_GRACE_S, Target, TargetList


def make_target(instance, revision, **changes):
    """Return a target; its node is at the address ``node-INSTANCE``."""
    fields = {
        "born_ms": None,
        "service": "desk",
        "address": f"{instance}:80",
        "node_address": f"node-{instance}",
        "failure_domain": "erie",
        "slots": 4,
        "leaving": False,
        **changes,
    }
    return Target(instance, revision=revision, **fields)


class TargetListTest(unittest.TestCase):
    """Entries are named by their instances."""

    def setUp(self):
        self.list = TargetList()

    def names(self):
        return sorted(self.list.targets)

    def put(self, instance, revision, now_s=0.0, **changes):
        target = make_target(instance, revision, **changes)
        return self.list.apply_changes([(instance, target, revision)], revision, now_s)

    def test_change_older_than_the_known_entry_is_ignored(self):
        self.put("a", 5, leaving=True)
        self.put("a", 4)
        self.assertTrue(self.list.targets["a"].leaving)

    def test_removed_entry_does_not_come_back_from_a_stale_list(self):
        self.put("a", 5)
        self.list.apply_changes([("a", None, 7)], 7, 1.0)
        stale = [("a", make_target("a", 5))]
        self.list.apply_listing(stale, 6, False, 2.0)
        self.assertEqual(self.names(), [])

    def test_entry_newer_than_a_list_that_lacks_it_is_kept(self):
        self.put("a", 9)
        self.list.apply_listing([], 8, False, 1.0)
        self.assertEqual(self.names(), ["a"])

    def test_entry_missing_without_an_outage_is_removed_at_once(self):
        self.put("a", 5)
        self.list.apply_listing([], 8, False, 1.0)
        self.assertEqual(self.names(), [])

    def test_entry_missing_after_an_outage_is_kept_for_a_grace_time(self):
        self.put("a", 5)
        self.put("b", 6)
        self.list.apply_listing([], 9, True, 10.0)
        self.assertEqual(self.names(), ["a", "b"])
        self.put("a", 10, 10.5)
        self.assertFalse(self.list.expire_missing(10.0 + RELIST_GRACE_S - 0.1))
        self.list.expire_missing(10.0 + RELIST_GRACE_S + 0.1)
        self.assertEqual(self.names(), ["a"])

    def test_invalid_entry_is_ignored_and_does_not_affect_others(self):
        self.put("a", 5)
        listing = [("forged", None), ("a", make_target("a", 5))]
        self.list.apply_listing(listing, 6, False, 1.0)
        self.assertEqual(self.names(), ["a"])

    def test_restart_under_the_same_name_has_another_identity(self):
        self.put("a", 5, born_ms=1000)
        first = self.list.targets["a"].identity
        self.put("a", 6, born_ms=2000)
        self.assertNotEqual(self.list.targets["a"].identity, first)

    def test_services_are_indexed(self):
        self.put("a", 5)
        self.put("b", 6, service="board")
        self.assertEqual([t.instance for t in self.list.list_service("board")], ["b"])
