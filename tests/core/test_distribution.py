"""Tests of the guarantees of distribution, each under the faults it must survive."""

import unittest

from balsamdeal.core import distribution, events
from balsamdeal.core.sources import AGE_BOUND_S, PROBE_INTERVAL_S, WATCH_WAIT_S
from balsamdeal.documents import CHANNELS, CONFIG, VMS, build_document
from standins.platform import make_vms_document
from tests.core.fakes import (
    BAD_TEMPLATE,
    Fabric,
    make_parts,
    make_vm,
    start_fabric,
)

FOUR_DOMAINS = ("duluth", "toledo", "erie", "kingston")
IN_FORCE_S = 5.0


def list_revisions(fabric, channel=CONFIG):
    """Return the revision that each running node holds."""
    return [
        node.distribution.channels[channel].version.revision
        for node in fabric.nodes.values()
    ]


class ConvergenceTest(unittest.TestCase):
    """A published configuration is in force on all nodes within IN_FORCE_S."""

    def check_converges(self, fabric, revision):
        fabric.publish_config(revision, path=f"/tickets/{revision}")
        fabric.run(IN_FORCE_S)
        self.assertEqual(set(list_revisions(fabric)), {revision})
        self.assertEqual(fabric.versions_back, 0)

    def test_every_variant_converges(self):
        for variant in distribution.VARIANTS:
            with self.subTest(variant=variant):
                fabric = start_fabric(16, variant=variant, domains=FOUR_DOMAINS)
                self.check_converges(fabric, 2)

    def test_converges_with_20_percent_of_messages_lost_and_20_percent_duplicated(self):
        for seed in range(5):
            fabric = start_fabric(16, seed, domains=FOUR_DOMAINS)
            fabric.loss_rate = fabric.duplicate_rate = 0.2
            self.check_converges(fabric, 2)

    def test_converges_after_all_watchers_of_all_domains_crashed(self):
        fabric = start_fabric(16, domains=FOUR_DOMAINS)
        watchers = [
            address
            for address, node in fabric.nodes.items()
            if node.membership.is_watcher(CONFIG, fabric.now_s)
        ]
        self.assertEqual(len(watchers), 8)
        for address in watchers:
            fabric.kill(address)
        fabric.run(2.0)
        fabric.publish_config(2)
        fabric.run(IN_FORCE_S)
        self.assertEqual(set(list_revisions(fabric)), {2})

    def test_two_or_all_nodes_as_watchers_are_harmless(self):
        fabric = start_fabric(6)
        for node in fabric.nodes.values():
            node.membership.is_watcher = lambda channel, now_s: True
        fabric.run(20)
        self.check_converges(fabric, 2)

    def test_without_watchers_probes_of_the_source_converge(self):
        fabric = start_fabric(6)
        for node in fabric.nodes.values():
            node.membership.is_watcher = lambda channel, now_s: False
        fabric.publish_config(2)
        fabric.run(WATCH_WAIT_S + AGE_BOUND_S + PROBE_INTERVAL_S + IN_FORCE_S)
        self.assertEqual(set(list_revisions(fabric)), {2})

    def test_concurrent_announcements_of_several_versions_end_at_the_newest(self):
        for seed in range(5):
            fabric = start_fabric(12, seed, domains=FOUR_DOMAINS)
            fabric.loss_rate = fabric.duplicate_rate = 0.1
            fabric.publish_config(2)
            fabric.publish_config(3)
            fabric.run(0.01)
            fabric.publish_config(4)
            fabric.run(IN_FORCE_S)
            self.assertEqual(set(list_revisions(fabric)), {4})
            self.assertEqual(fabric.versions_back, 0)

    def test_new_vm_list_does_not_change_the_configuration(self):
        fabric = start_fabric(4)
        fabric.publish(make_vms_document(2, [*fabric.vms.values(), make_vm(9)]))
        fabric.run(IN_FORCE_S)
        self.assertEqual(set(list_revisions(fabric, VMS)), {2})
        self.assertEqual(set(list_revisions(fabric)), {1})


class NoRollbackTest(unittest.TestCase):
    """No node goes back to an older version, whatever the source or peers send."""

    def test_source_rolled_back_is_ignored_and_reported(self):
        fabric = start_fabric(4)
        fabric.publish_config(5)
        fabric.run(IN_FORCE_S)
        fabric.publish_config(3, path="/old")
        fabric.run(IN_FORCE_S)
        self.assertEqual(set(list_revisions(fabric)), {5})
        states = {
            node.distribution.channels[CONFIG].source.state
            for node in fabric.nodes.values()
        }
        self.assertIn("stale", states)

    def test_replaced_node_takes_its_peers_version_from_a_stale_source(self):
        fabric = start_fabric(4)
        fabric.publish_config(5)
        fabric.run(IN_FORCE_S)
        fabric.publish_config(3, path="/old")
        address = next(iter(fabric.vms))
        fabric.kill(address)
        fabric.run(1)
        fabric.start(address)
        node = fabric.nodes[address]
        while node.distribution.starting:
            fabric.run(0.01)
        self.assertEqual(node.distribution.channels[CONFIG].version.revision, 5)

    def test_replaced_node_starts_from_peers_while_the_source_is_down(self):
        fabric = start_fabric(4)
        fabric.source_down = True
        address = next(iter(fabric.vms))
        fabric.kill(address)
        fabric.start(address)
        fabric.run(distribution.START_TIMEOUT_S + 0.5)
        node = fabric.nodes[address]
        self.assertFalse(node.distribution.starting)
        self.assertEqual(list_revisions(fabric), [1] * 4)

    def test_same_revision_with_two_contents_converges_to_one(self):
        fabric = start_fabric(8, domains=FOUR_DOMAINS)
        one = build_document(2, make_parts("/one"))
        other = build_document(2, make_parts("/other"))
        first, second = list(fabric.nodes)[:2]
        for address, document in ((first, one), (second, other)):
            event = events.SourceAnswered(CONFIG, 2, document, fabric.now_s)
            fabric.deliver(address, fabric.incarnations[address], event)
        fabric.run(IN_FORCE_S)
        held = {
            node.distribution.channels[CONFIG].version for node in fabric.nodes.values()
        }
        self.assertEqual(held, {max(one.version, other.version)})


class AtomicApplyTest(unittest.TestCase):
    """A version is applied atomically: completely or not at all."""

    def test_bad_version_is_rejected_everywhere_and_the_next_good_one_applied(self):
        fabric = start_fabric(6)
        fabric.publish_config(2, template=BAD_TEMPLATE)
        fabric.run(IN_FORCE_S)
        self.assertEqual(set(list_revisions(fabric)), {1})
        reports = [change for _, change, _ in fabric.changes if change == "rejected"]
        self.assertEqual(len(reports), 2, "each watcher reports it once")
        fabric.publish_config(3)
        fabric.run(IN_FORCE_S)
        self.assertEqual(set(list_revisions(fabric)), {3})

    def test_delta_with_a_missing_part_is_not_applied(self):
        fabric = start_fabric(4)
        address = next(iter(fabric.vms))
        node = fabric.nodes[address]
        peer = fabric.nodes[next(a for a in fabric.vms if a != address)]
        complete_answer = peer.distribution.answer_pull

        def answer_incomplete(channel, base):
            delta = complete_answer(channel, base)
            changed = dict(list(delta.changed.items())[1:])
            return type(delta)(delta.base, delta.version, changed, delta.removed)

        peer.distribution.answer_pull = answer_incomplete
        fabric.publish_config(2, path="/new")
        fabric.run(IN_FORCE_S)
        self.assertEqual(set(list_revisions(fabric)), {2})
        self.assertEqual(node.distribution.snapshot.version.revision, 2)


class PartitionTest(unittest.TestCase):
    """A partitioned failure domain keeps its version and catches up afterwards."""

    def test_domain_partitioned_for_an_hour_catches_up_over_ten_versions(self):
        fabric = start_fabric(8, domains=("duluth", "toledo"))
        sides = {"duluth": [], "toledo": []}
        for address, vm in fabric.vms.items():
            sides[vm.failure_domain].append(address)
        fabric.partition(sides["duluth"], [*sides["toledo"], "source"])
        for revision in range(2, 12):
            fabric.run(360)
            fabric.publish_config(revision, path=f"/{revision}")
        fabric.run(1)
        held = {
            fabric.nodes[address].distribution.snapshot.version.revision
            for address in sides["duluth"]
        }
        self.assertEqual(held, {1})
        fabric.cut.clear()
        fabric.run(IN_FORCE_S)
        self.assertEqual(set(list_revisions(fabric)), {11})
        self.assertEqual(fabric.versions_back, 0)

    def test_domain_that_cannot_reach_the_source_converges_through_other_domains(self):
        fabric = start_fabric(8, domains=("duluth", "toledo"))
        for address, vm in fabric.vms.items():
            if vm.failure_domain == "duluth":
                fabric.cut.add((address, "source"))
        fabric.publish_config(2)
        fabric.run(IN_FORCE_S)
        self.assertEqual(set(list_revisions(fabric)), {2})
        failures = sum(
            fabric.nodes[address].distribution.counters.get("source_failures", 0)
            for address, vm in fabric.vms.items()
            if vm.failure_domain == "duluth"
        )
        self.assertGreater(failures, 0)


class PauseTest(unittest.TestCase):
    """A process that resumes after a pause updates its versions before it serves."""

    def test_resumed_node_serves_no_request_with_an_outdated_configuration(self):
        fabric = start_fabric(4)
        address = next(iter(fabric.vms))
        fabric.paused.add(address)
        fabric.run(1)
        fabric.publish_config(2, path="/new")
        fabric.run(30)
        fabric.paused.clear()
        fabric.call(address, "r1", method="GET", path="/new/1")
        fabric.run(1)
        self.assertEqual(fabric.answers["r1"].outcome, "answered")
        fabric.call(address, "r2", method="GET", path="/tickets")
        fabric.run(1)
        self.assertEqual(fabric.answers["r2"].status, 404)

    def test_resumed_node_that_is_partitioned_serves_after_a_bounded_delay(self):
        fabric = start_fabric(4)
        address = next(iter(fabric.vms))
        fabric.paused.add(address)
        fabric.partition(
            [address], [*(a for a in fabric.vms if a != address), "source"]
        )
        fabric.run(30)
        fabric.paused.clear()
        fabric.call(address, "r1", method="GET", path="/tickets")
        fabric.run(2)
        self.assertEqual(fabric.answers["r1"].outcome, "answered")


class HintTest(unittest.TestCase):
    """A call that carries a newer version makes the receiver pull that version."""

    def test_hint_causes_a_pull_without_any_announcement(self):
        fabric = start_fabric(2)
        behind, ahead = fabric.vms
        fabric.isolated_peers.add(behind)
        version = fabric.publish_config(2).version
        fabric.run(IN_FORCE_S)
        self.assertEqual(sorted(list_revisions(fabric)), [1, 2])
        event = events.VersionHinted(ahead, version, fabric.now_s)
        fabric.deliver(behind, fabric.incarnations[behind], event)
        fabric.run(0.1)
        self.assertEqual(list_revisions(fabric), [2, 2])


class SourceLoadTest(unittest.TestCase):
    """Reads of the source are bounded, at rest and when all nodes start at once."""

    def count_busiest_second(self, fabric):
        times = sorted(at_s for at_s, _ in fabric.reads)
        return max(
            sum(start_s <= at_s < start_s + 1 for at_s in times) for start_s in times
        )

    def test_reads_at_rest_are_bounded_by_domains(self):
        fabric = start_fabric(40, domains=FOUR_DOMAINS)
        fabric.reads.clear()
        fabric.run(60)
        readers = {address for _, address in fabric.reads}
        watches = len(FOUR_DOMAINS) * 2 * len(CHANNELS)
        self.assertLessEqual(len(readers), watches)
        self.assertLessEqual(len(fabric.reads), 60 * watches / WATCH_WAIT_S)

    def test_simultaneous_start_stays_under_a_tenth_of_the_limit(self):
        vms = [make_vm(n + 1, FOUR_DOMAINS[n % 4]) for n in range(150)]
        fabric = Fabric(vms, seed=7)
        fabric.publish_config(1)
        fabric.publish(make_vms_document(1, vms))
        for address in fabric.vms:
            fabric.start(address)
        fabric.run(5.0)
        self.assertEqual(set(list_revisions(fabric)), {1})
        self.assertLessEqual(self.count_busiest_second(fabric), 200)

    def test_simultaneous_start_without_a_source_stays_under_a_tenth_of_the_limit(self):
        vms = [make_vm(n + 1, FOUR_DOMAINS[n % 4]) for n in range(150)]
        fabric = Fabric(vms, seed=7)
        fabric.source_down = True
        for address in fabric.vms:
            fabric.start(address)
        fabric.run(20.0)
        self.assertLessEqual(self.count_busiest_second(fabric), 200)
        fabric.source_down = False
        fabric.publish_config(1)
        fabric.publish(make_vms_document(1, vms))
        fabric.run(IN_FORCE_S)
        self.assertEqual(set(list_revisions(fabric)), {1})
