"""Tests of the list of targets under stale reads, outages and other writers."""

import unittest

from balsamdeal.core.revisions import Revision
from balsamdeal.core.targets import RELIST_GRACE_S, Target, TargetList


def make_target(instance, number, era=0, **changes):
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
    return Target(instance, revision=Revision(era, number), **fields)


def apply_listing(targets, entries, number, after_outage, now_s, era=0):
    """Apply a full list at a revision; return whether anything changed."""
    revision = Revision(era, number)
    return targets.apply_listing(entries, revision, after_outage, now_s)


def put_target(targets, target, now_s):
    """Apply the change to a target; return whether anything changed."""
    change = (target.instance, target, target.revision)
    return targets.apply_changes([change], target.revision, now_s)


def remove_target(targets, name, number, now_s, era=0):
    """Apply the removal of an entry; return whether anything changed."""
    revision = Revision(era, number)
    return targets.apply_changes([(name, None, revision)], revision, now_s)


class RestoredSourceTest(unittest.TestCase):
    """The source comes back from an older copy: revisions are given out again."""

    def setUp(self):
        """Hold era 1 up to revision 100; the copies below are of revision 95."""
        self.list = TargetList()
        entries = [(name, make_target(name, 90, 1)) for name in "abc"]
        apply_listing(self.list, entries, 95, False, 0.0, era=1)
        put_target(self.list, make_target("d", 98, 1), 0.0)
        put_target(self.list, make_target("a", 99, 1, leaving=True), 0.0)
        remove_target(self.list, "c", 100, 0.0, era=1)

    def names(self):
        return sorted(self.list.targets)

    def apply_copy(self, now_s=10.0, era=2, names="abc", number=95):
        entries = [(name, make_target(name, 90, era)) for name in names]
        return apply_listing(self.list, entries, number, False, now_s, era=era)

    # Guards against targets that go on getting work after they have left, as they left
    # at a revision below the one known of them (review/2).
    def test_leaving_and_removal_at_lower_revisions_are_followed(self):
        self.apply_copy()
        put_target(self.list, make_target("d", 96, 2), 10.5)
        put_target(self.list, make_target("d", 97, 2, leaving=True), 11.0)
        self.assertTrue(self.list.targets["d"].leaving)
        remove_target(self.list, "d", 98, 11.0, era=2)
        self.assertNotIn("d", self.names())

    # Guards against living targets that are dropped before they are listed again.
    def test_target_that_the_copy_lacks_is_kept_until_it_is_listed_again(self):
        self.apply_copy()
        self.apply_copy(11.0)
        self.assertIn("d", self.names())
        put_target(self.list, make_target("d", 96, 2), 12.0)
        self.list.end_grace(20.0)
        self.assertIn("d", self.names())

    # Guards against a target that stays in use for ever, as its removal was lost.
    def test_target_that_is_not_listed_again_is_dropped(self):
        self.apply_copy()
        self.assertEqual(self.list.get_next_grace_end_s(), 10.0 + RELIST_GRACE_S)
        self.list.end_grace(10.0 + RELIST_GRACE_S)
        self.assertNotIn("d", self.names())

    # Guards against a target that has left and is used again, as the copy is older.
    def test_removed_target_of_the_copy_is_withheld_until_it_is_removed_again(self):
        self.apply_copy()
        self.assertNotIn("c", self.names())
        remove_target(self.list, "c", 97, 11.0, era=2)
        self.list.end_grace(20.0)
        self.assertNotIn("c", self.names())
        self.assertIsNone(self.list.get_next_grace_end_s())

    # Guards against a living target that is never used again, as its entry lapsed
    # before the restore and is not written again where it has not changed.
    def test_removed_target_is_used_if_it_is_not_removed_again(self):
        self.apply_copy()
        self.assertFalse(self.list.end_grace(10.0 + RELIST_GRACE_S - 0.1))
        self.assertTrue(self.list.end_grace(10.0 + RELIST_GRACE_S))
        self.assertIn("c", self.names())

    def test_removed_target_is_used_once_its_entry_is_written_again(self):
        self.apply_copy()
        put_target(self.list, make_target("c", 96, 2), 10.5)
        self.assertIn("c", self.names())

    def test_restart_of_a_removed_target_is_used_at_once(self):
        entries = [("c", make_target("c", 96, 2, born_ms=5))]
        apply_listing(self.list, entries, 97, False, 10.0, era=2)
        self.assertIn("c", self.names())

    # Guards against a leaving target that gets work again, as the copy is older.
    def test_leaving_target_of_the_copy_is_leaving_still(self):
        self.apply_copy()
        self.assertTrue(self.list.targets["a"].leaving)
        self.apply_copy(11.0)
        self.assertTrue(self.list.targets["a"].leaving)

    # Guards against an answer that was on its way during the restore.
    def test_late_list_of_the_earlier_era_changes_nothing(self):
        self.apply_copy()
        before = dict(self.list.targets)
        self.assertFalse(self.apply_copy(11.0, era=1, names="abce", number=120))
        self.assertEqual(self.list.targets, before)
        self.assertEqual(self.list.revision, Revision(2, 95))

    # Guards against a grace time that ends before entries are back from the second
    # restore.
    def test_second_restore_gives_entries_as_long_again(self):
        self.apply_copy()
        self.apply_copy(11.5, era=3)
        self.list.end_grace(10.0 + RELIST_GRACE_S)
        self.assertEqual(self.names(), ["a", "b", "d"])
        self.list.end_grace(11.5 + RELIST_GRACE_S)
        self.assertEqual(self.names(), ["a", "b", "c"])

    def test_invalid_entry_of_the_new_era_names_no_target(self):
        apply_listing(self.list, [("b", None)], 95, False, 10.0, era=2)
        self.assertNotIn("b", self.names())


class TargetListTest(unittest.TestCase):
    """Entries are named by their instances."""

    def setUp(self):
        self.list = TargetList()

    def names(self):
        return sorted(self.list.targets)

    def put(self, instance, number, now_s=0.0, **changes):
        return put_target(self.list, make_target(instance, number, **changes), now_s)

    def test_change_older_than_the_known_entry_is_ignored(self):
        self.put("a", 5, leaving=True)
        self.put("a", 4)
        self.assertTrue(self.list.targets["a"].leaving)

    def test_removed_entry_does_not_come_back_from_a_stale_list(self):
        self.put("a", 5)
        remove_target(self.list, "a", 7, 1.0)
        stale = [("a", make_target("a", 5))]
        apply_listing(self.list, stale, 6, False, 2.0)
        self.assertEqual(self.names(), [])

    def test_entry_newer_than_a_list_that_lacks_it_is_kept(self):
        self.put("a", 9)
        apply_listing(self.list, [], 8, False, 1.0)
        self.assertEqual(self.names(), ["a"])

    def test_entry_missing_without_an_outage_is_removed_at_once(self):
        self.put("a", 5)
        apply_listing(self.list, [], 8, False, 1.0)
        self.assertEqual(self.names(), [])

    def test_entry_missing_after_an_outage_is_kept_for_a_grace_time(self):
        self.put("a", 5)
        self.put("b", 6)
        apply_listing(self.list, [], 9, True, 10.0)
        self.assertEqual(self.names(), ["a", "b"])
        self.put("a", 10, 10.5)
        self.assertFalse(self.list.end_grace(10.0 + RELIST_GRACE_S - 0.1))
        self.list.end_grace(10.0 + RELIST_GRACE_S + 0.1)
        self.assertEqual(self.names(), ["a"])

    def test_invalid_entry_is_ignored_and_does_not_affect_others(self):
        self.put("a", 5)
        listing = [("forged", None), ("a", make_target("a", 5))]
        apply_listing(self.list, listing, 6, False, 1.0)
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
