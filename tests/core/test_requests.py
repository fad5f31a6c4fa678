"""Tests of requests across nodes: at-most-once runs, true outcomes, one answer each.

The owner of a key is the VM that ranks first for it.
"""

import unittest

from balsamdeal.core import events, key_records
from balsamdeal.core.admission import QUEUE_PER_SLOT
from balsamdeal.core.key_records import scope_key
from balsamdeal.core.membership import compute_score, rank
from balsamdeal.core.replies import Reply
from balsamdeal.documents import build_document
from standins.platform import make_vms_document
from tests.core.fakes import (
    EPOCH_S,
    TEMPLATE,
    make_key,
    make_parts,
    make_vm,
    start_fabric,
)

SETTLED_S = 40.0


def start_settled(count=3, seed=1):
    """Return a fabric whose nodes have run for longer than keys are resent."""
    fabric = start_fabric(count, seed)
    fabric.run(SETTLED_S)
    return fabric


def list_ranking(fabric, key):
    """Return the nodes' peer addresses, ranked for a key of the workspace members."""
    ranking = rank(scope_key("members", key), fabric.vms.values())
    return [vm.peer_address for vm in ranking]


def make_charge(work_id, time_left_s, wall_s, now_s):
    """Return a charge with the key ``k1`` as a target's node receives it."""
    return events.WorkReceived(
        work_id,
        "desk",
        ("members", "charge"),
        1.0,
        "members/k1",
        "POST /charges",
        False,
        False,
        time_left_s,
        wall_s,
        now_s,
    )


class RequestTestCase(unittest.TestCase):
    """Checks that hold for all requests of a test."""

    def check_outcomes(self, fabric, keys=()):
        for key, count in fabric.runs.items():
            self.assertLessEqual(count, 1, f"{key} ran {count} times")
        for request_id, reply in fabric.answers.items():
            key = keys[request_id] if request_id in keys else request_id
            if reply.outcome == "not-run":
                self.assertNotIn(
                    scope_key("members", key),
                    fabric.runs,
                    f"{request_id} was reported not run",
                )
            if reply.outcome == "answered":
                self.assertEqual(reply.body, f"ran members/{key}".encode())


class IdempotencyKeyTest(RequestTestCase):
    """Work with one key runs at most once, wherever and whenever it is sent."""

    def send(self, fabric, keys, address, request_id, key):
        keys[request_id] = key
        fabric.call(address, request_id, key)

    def test_one_key_through_all_nodes_at_once_runs_once(self):
        for seed in range(10):
            fabric = start_settled(seed=seed)
            keys = {}
            for number, address in enumerate(fabric.vms):
                self.send(fabric, keys, address, f"r{number}", "k1")
            fabric.run(3)
            self.assertEqual(fabric.runs, {"members/k1": 1})
            outcomes_seen = {reply.outcome for reply in fabric.answers.values()}
            self.assertEqual(outcomes_seen, {"answered"})
            self.check_outcomes(fabric, keys)

    def test_resent_key_gets_the_first_answer_through_another_node(self):
        fabric = start_settled()
        keys = {}
        for number, address in enumerate(fabric.vms):
            self.send(fabric, keys, address, f"r{number}", "k1")
            fabric.run(10)
        self.assertEqual(fabric.runs, {"members/k1": 1})
        self.check_outcomes(fabric, keys)

    def test_resend_after_the_owner_died_is_unknown_and_does_not_run(self):
        for uuidv7 in (False, True):
            fabric = start_settled()
            wall_s = EPOCH_S + fabric.now_s
            key = make_key(wall_s, 1) if uuidv7 else "k1"
            owner, other, _ = list_ranking(fabric, key)
            keys = {}
            self.send(fabric, keys, other, "r1", key)
            fabric.run(1)
            fabric.kill(owner)
            self.send(fabric, keys, other, "r2", key)
            fabric.run(1)
            fabric.start(owner)
            fabric.run(3)
            self.send(fabric, keys, other, "r3", key)
            fabric.run(3)
            self.assertEqual(fabric.runs, {f"members/{key}": 1})
            self.assertEqual(fabric.answers["r2"].outcome, "unknown")
            self.assertEqual(fabric.answers["r3"].outcome, "unknown")
            self.check_outcomes(fabric, keys)

    def test_uuidv7_key_created_after_the_owner_died_runs_once(self):
        fabric = start_settled()
        key = make_key(EPOCH_S + fabric.now_s + 5, 1)
        owner, other, third = list_ranking(fabric, key)
        fabric.kill(owner)
        undated_key = next(
            name
            for name in map(str, range(100))
            if list_ranking(fabric, name)[:2] == [owner, other]
        )
        keys = {}
        self.send(fabric, keys, third, "r0", undated_key)
        fabric.run(5.1)
        self.assertEqual(fabric.answers["r0"].outcome, "unknown")
        self.send(fabric, keys, other, "r1", key)
        fabric.run(1)
        self.send(fabric, keys, third, "r2", key)
        fabric.run(1)
        fabric.start(owner)
        fabric.run(3)
        self.send(fabric, keys, third, "r3", key)
        fabric.run(3)
        self.assertEqual(fabric.runs, {f"members/{key}": 1})
        outcomes_seen = [fabric.answers[name].outcome for name in ("r1", "r2", "r3")]
        self.assertEqual(outcomes_seen, ["answered"] * 3)
        self.check_outcomes(fabric, keys)

    def test_all_nodes_die_at_once_and_the_key_does_not_run_again(self):
        fabric = start_settled()
        keys = {}
        addresses = list(fabric.vms)
        self.send(fabric, keys, addresses[0], "r1", "k1")
        fabric.run(1)
        for address in addresses:
            fabric.kill(address)
        for address in addresses:
            fabric.start(address)
        fabric.run(5)
        for number, address in enumerate(addresses):
            self.send(fabric, keys, address, f"again{number}", "k1")
        fabric.run(3)
        self.assertEqual(fabric.runs, {"members/k1": 1})
        self.check_outcomes(fabric, keys)

    def test_vm_lists_that_differ_by_a_new_vm_run_the_key_once(self):
        keys_at_new_vm = 0
        for number in range(12):
            fabric = start_settled(seed=number)
            fabric.isolated_peers.add("10.0.0.1:7002")
            new_vm = make_vm(9)
            fabric.vms[new_vm.peer_address] = new_vm
            fabric.publish(make_vms_document(2, fabric.vms.values()))
            fabric.start(new_vm.peer_address)
            fabric.run(2)
            self.assertNotIn("vm-9", fabric.nodes["10.0.0.1:7002"].membership.vms)
            self.assertIn("vm-9", fabric.nodes["10.0.0.2:7002"].membership.vms)
            key = make_key(EPOCH_S + fabric.now_s, number)
            owner = list_ranking(fabric, key)[0]
            keys_at_new_vm += owner == new_vm.peer_address
            keys = {}
            self.send(fabric, keys, "10.0.0.1:7002", "r1", key)
            self.send(fabric, keys, "10.0.0.2:7002", "r2", key)
            fabric.run(3)
            self.assertEqual(fabric.runs.get(f"members/{key}", 0), 1)
            self.check_outcomes(fabric, keys)
        self.assertGreater(keys_at_new_vm, 0, "no key ranked the new VM first")

    def test_owner_partitioned_from_one_ingress_runs_the_key_once(self):
        fabric = start_settled()
        owner, other, third = list_ranking(fabric, "k1")
        fabric.partition([owner], [other])
        keys = {}
        self.send(fabric, keys, other, "r1", "k1")
        self.send(fabric, keys, third, "r2", "k1")
        fabric.run(3)
        self.assertEqual(fabric.runs, {"members/k1": 1})
        self.assertEqual(fabric.answers["r1"].outcome, "unknown")
        self.assertEqual(fabric.answers["r2"].outcome, "answered")
        self.check_outcomes(fabric, keys)

    def test_leaving_owner_answers_for_its_keys_and_takes_no_new_ones(self):
        fabric = start_settled()
        owner, other, third = list_ranking(fabric, "k1")
        keys = {}
        self.send(fabric, keys, other, "r1", "k1")
        fabric.run(1)
        leaving = [
            make_vm(n, leaving=fabric.vms[owner].name == f"vm-{n}") for n in (1, 2, 3)
        ]
        fabric.publish(make_vms_document(2, leaving))
        fabric.run(3)
        self.send(fabric, keys, third, "r2", "k1")
        fabric.run(3)
        self.assertEqual(fabric.runs, {"members/k1": 1})
        self.assertEqual(fabric.answers["r2"].outcome, "answered")
        self.check_outcomes(fabric, keys)

    def test_key_of_a_paused_owner_runs_at_most_once(self):
        fabric = start_settled()
        owner, other, third = list_ranking(fabric, "k1")
        fabric.paused.add(owner)
        keys = {}
        self.send(fabric, keys, other, "r1", "k1")
        fabric.run(10)
        self.assertEqual(fabric.answers["r1"].outcome, "unknown")
        self.send(fabric, keys, third, "r2", "k1")
        fabric.run(1.5)
        fabric.paused.clear()
        fabric.run(5)
        self.send(fabric, keys, third, "r3", "k1")
        fabric.run(3)
        self.assertLessEqual(fabric.runs.get("members/k1", 0), 1)
        self.assertEqual(fabric.answers["r3"].outcome, "answered")
        self.check_outcomes(fabric, keys)

    def test_owner_removed_while_paused_does_not_run_a_queued_copy(self):
        fabric = start_settled()
        key = make_key(EPOCH_S + fabric.now_s + 4, 1)
        owner, other, third = list_ranking(fabric, key)
        fabric.isolated_peers.add(third)
        fabric.paused.add(owner)
        remaining = [vm for vm in fabric.vms.values() if vm.peer_address != owner]
        fabric.publish(make_vms_document(2, remaining))
        fabric.run(5)
        keys = {}
        self.send(fabric, keys, third, "r1", key)
        fabric.run(0.1)
        self.send(fabric, keys, other, "r2", key)
        fabric.run(0.5)
        self.assertEqual(fabric.answers["r2"].outcome, "answered")
        fabric.paused.clear()
        fabric.run(3)
        self.assertEqual(fabric.runs, {f"members/{key}": 1})
        self.check_outcomes(fabric, keys)

    def test_same_key_in_two_workspaces_is_two_keys(self):
        fabric = start_settled()
        address = next(iter(fabric.vms))
        parts = make_parts()
        parts["workspaces/others.yaml"] = parts["workspaces/members.yaml"]
        fabric.publish(build_document(2, parts))
        fabric.run(3)
        fabric.call(address, "r1", "k1")
        fabric.run(1)
        fabric.call(address, "r2", "k1", workspace="others")
        fabric.run(1)
        self.assertEqual(fabric.answers["r1"].body, b"ran members/k1")
        self.assertEqual(fabric.answers["r2"].body, b"ran others/k1")

    def test_key_reused_for_another_request_is_refused(self):
        fabric = start_settled()
        address = next(iter(fabric.vms))
        fabric.call(address, "r1", "k1", path="/charges/1")
        fabric.run(1)
        fabric.call(address, "r2", "k1", path="/charges/2")
        fabric.run(1)
        reply = fabric.answers["r2"]
        self.assertEqual((reply.outcome, reply.status), ("unknown", 422))
        self.assertEqual(fabric.runs, {"members/k1": 1})

    def test_outcome_query_bars_the_key_for_a_delayed_copy(self):
        fabric = start_settled()
        address = next(iter(fabric.vms))
        event = events.OutcomeQueried("q1", "desk", "members/k1", fabric.now_s)
        fabric.deliver(address, fabric.incarnations[address], event)
        fabric.run(1)
        self.assertIn(b'"not-run"', fabric.answers.pop("q1").body)
        fabric.call(address, "r1", "k1")
        fabric.run(3)
        self.assertEqual(fabric.answers["r1"].outcome, "unknown")
        self.assertEqual(fabric.runs, {})

    def test_removed_owner_leaves_its_keys_unknown(self):
        fabric = start_settled()
        owner, other, third = list_ranking(fabric, "k1")
        keys = {}
        self.send(fabric, keys, other, "r1", "k1")
        fabric.run(1)
        fabric.kill(owner)
        remaining = [vm for vm in fabric.vms.values() if vm.peer_address != owner]
        fabric.publish(make_vms_document(2, remaining))
        fabric.run(3)
        self.send(fabric, keys, third, "r2", "k1")
        fabric.run(3)
        self.assertEqual(fabric.runs, {"members/k1": 1})
        self.assertEqual(fabric.answers["r2"].outcome, "unknown")

    def test_key_run_before_its_new_owner_joined_does_not_run_again(self):
        checked_keys = 0
        for number in range(12):
            fabric = start_settled(seed=number)
            key = make_key(EPOCH_S + fabric.now_s, number)
            new_vm = make_vm(9)
            old_owner = list_ranking(fabric, key)[0]
            fabric.vms[new_vm.peer_address] = new_vm
            if list_ranking(fabric, key)[0] != new_vm.peer_address:
                continue
            checked_keys += 1
            keys = {}
            self.send(fabric, keys, old_owner, "r1", key)
            fabric.run(1)
            fabric.publish(make_vms_document(2, fabric.vms.values()))
            fabric.start(new_vm.peer_address)
            fabric.run(60)
            self.send(fabric, keys, old_owner, "r2", key)
            fabric.run(3)
            self.assertEqual(fabric.runs, {f"members/{key}": 1})
            self.assertEqual(fabric.answers["r2"].outcome, "answered")
        self.assertGreater(checked_keys, 0, "no key ranked the new VM first")

    def test_copy_sent_before_its_key_was_reported_not_run_does_not_run(self):
        fabric = start_settled(1)
        address = next(iter(fabric.vms))
        node = fabric.nodes[address]
        fabric.down_targets = {address}
        fabric.call(address, "r1", "k1")
        sent_s = EPOCH_S + fabric.now_s
        fabric.run(1)
        self.assertEqual(fabric.answers["r1"].outcome, "not-run")
        fabric.down_targets = set()
        fabric.attempts["late"] = (address, fabric.incarnations[address], "late")
        late = make_charge("late", 1.0, sent_s, fabric.now_s)
        fabric.deliver(address, fabric.incarnations[address], late)
        fabric.run(1)
        self.assertEqual(fabric.runs, {})
        self.assertEqual(
            node.work.key_records.records["members/k1"].state,
            key_records.REPORTED_NOT_RUN,
        )
        fabric.call(address, "r2", "k1")
        fabric.run(1)
        self.assertEqual(fabric.answers["r2"].outcome, "answered")

    def test_copy_waiting_for_the_first_ends_when_its_ingress_disconnects(self):
        fabric = start_settled(1)
        address = next(iter(fabric.vms))
        node = fabric.nodes[address]
        fabric.hung_targets = {address}
        fabric.call(address, "r1", "k1")
        fabric.run(0.1)
        copy = make_charge("w1", 9.0, EPOCH_S + fabric.now_s, fabric.now_s)
        node.reduce(copy)
        self.assertIn("w1", node.work.jobs)
        reply_effects = node.reduce(events.WorkAbandoned("w1", fabric.now_s))
        self.assertEqual([effect.work_id for effect in reply_effects], ["w1"])
        self.assertNotIn("w1", node.work.jobs)

    def test_key_barred_during_inquiries_stays_barred_when_the_work_ends(self):
        for asker, state in (("", key_records.NEVER), ("vm-2", key_records.BARRED)):
            memory = key_records.KeyRecords("vm-1")
            key = next(
                f"members/{number}"
                for number in range(100)
                if compute_score(f"members/{number}", "vm-2")
                > compute_score(f"members/{number}", "vm-1")
            )
            memory.begin(key, key_records.INQUIRING, 0.0)
            memory.records[key].waiters.append("w1")
            self.assertEqual(memory.answer_inquiry(key, asker, 0.0), key_records.ABSENT)
            self.assertEqual(memory.forget(key), ["w1"])
            self.assertIn(key, memory.records, "the key is not barred any more")
            self.assertEqual(memory.records[key].state, state)
            self.assertEqual(memory.records[key].waiters, [])

    def test_full_record_table_refuses_new_keys_and_evicts_no_recent_one(self):
        fabric = start_settled(1)
        address = next(iter(fabric.vms))
        keys = {}
        self.send(fabric, keys, address, "r1", "k1")
        fabric.run(1)
        memory = fabric.nodes[address].work.key_records
        for number in range(key_records.MAX_RECORDS - 1):
            memory.begin(f"fill{number}", key_records.RUNNING, fabric.now_s)
        self.send(fabric, keys, address, "r2", "k2")
        self.send(fabric, keys, address, "r3", "k1")
        fabric.run(1)
        self.assertEqual(fabric.answers["r2"].outcome, "unknown")
        self.assertNotIn("members/k2", fabric.runs)
        self.assertEqual(fabric.answers["r3"].outcome, "answered")
        self.check_outcomes(fabric, keys)

    def test_stored_replies_are_bounded_and_the_rest_say_that_the_key_ran(self):
        memory = key_records.KeyRecords("vm-1")
        body = b"x" * key_records.MAX_STORED_BODY_BYTES
        reply = Reply("answered", 200, (), body)
        count = key_records.MAX_STORED_BYTES // len(body) + 5
        for number in range(count):
            memory.begin(f"k{number}", key_records.RUNNING, 0.0)
            memory.record_reply(f"k{number}", reply)
        self.assertLessEqual(memory.stored_bytes, key_records.MAX_STORED_BYTES)
        self.assertEqual(memory.records["k0"].reply.body, body)
        last = memory.records[f"k{count - 1}"].reply
        self.assertEqual((last.outcome, last.status), ("unknown", 409))
        memory.expire(key_records.RECORD_TTL_S + 1)
        self.assertEqual((memory.stored_bytes, memory.records), (0, {}))

    def test_records_are_bounded_by_age(self):
        fabric = start_settled(1)
        address = next(iter(fabric.vms))
        fabric.call(address, "r1", "k1")
        fabric.run(key_records.RECORD_TTL_S + 1)
        fabric.call(address, "r2", "k2")
        fabric.run(1)
        self.assertEqual(
            list(fabric.nodes[address].work.key_records.records), ["members/k2"]
        )


class AttemptTest(RequestTestCase):
    """Retries, hedging, overload and the outcomes that callers receive."""

    def test_charge_without_key_is_retried_elsewhere_only_if_provably_not_run(self):
        fabric = start_settled()
        ingress, *others = fabric.vms
        fabric.down_targets = {ingress}
        fabric.call(ingress, "r1")
        fabric.run(2)
        self.assertEqual(fabric.answers["r1"].outcome, "answered")
        self.check_outcomes(fabric)

    def test_charge_whose_target_never_answers_is_unknown_and_not_retried(self):
        fabric = start_settled()
        fabric.hung_targets = set(fabric.vms)
        fabric.call(next(iter(fabric.vms)), "r1")
        fabric.run(3)
        self.assertEqual(fabric.answers["r1"].outcome, "unknown")
        self.assertEqual(fabric.runs, {"members/r1": 1})

    def test_lookup_is_retried_on_another_target(self):
        fabric = start_settled()
        ingress, *others = fabric.vms
        fabric.kill(others[0])
        for number in range(10):
            fabric.call(ingress, f"r{number}", method="GET", path="/tickets")
            fabric.run(0.5)
        outcomes_seen = {reply.outcome for reply in fabric.answers.values()}
        self.assertEqual(outcomes_seen, {"answered"})

    def test_charge_without_a_reachable_target_is_not_run_with_retry_after(self):
        fabric = start_settled()
        fabric.down_targets = set(fabric.vms)
        fabric.call(next(iter(fabric.vms)), "r1")
        fabric.run(2)
        reply = fabric.answers["r1"]
        self.assertEqual(reply.outcome, "not-run")
        self.assertGreater(reply.retry_after_s, 0)
        self.check_outcomes(fabric)

    def test_retries_stay_within_a_tenth_of_traffic(self):
        fabric = start_settled()
        fabric.down_targets = set(fabric.vms)
        ingress = next(iter(fabric.vms))
        for number in range(400):
            fabric.call(ingress, f"r{number}", method="GET", path="/tickets")
            fabric.run(0.01)
        fabric.run(3)
        retries = fabric.nodes[ingress].distribution.counters["retries"]
        self.assertLessEqual(retries, 400 * 0.1 + 1)
        self.assertGreater(retries, 0)

    def test_request_that_may_not_be_retried_is_not_retried(self):
        fabric = start_settled()
        fabric.down_targets = set(fabric.vms)
        ingress = next(iter(fabric.vms))
        event = events.RequestReceived(
            "r1", "members", "GET", "/tickets", "", "", None, False, fabric.now_s
        )
        fabric.deliver(ingress, fabric.incarnations[ingress], event)
        fabric.run(2)
        self.assertNotIn("retries", fabric.nodes[ingress].distribution.counters)
        self.assertEqual(fabric.answers["r1"].outcome, "not-run")

    def test_slow_lookup_is_hedged_once_on_another_target(self):
        fabric = start_settled()
        template = TEMPLATE.replace("class: lookup", "class: patient")
        parts = make_parts(template=template)
        parts["services/desk.yaml"] = (
            "slots: 2\nconnections: 10\nclasses:\n"
            "  charge: {weight: 1, timeout_s: 1.0}\n"
            "  patient: {weight: 1, timeout_s: 2.0, hedge_after_s: 0.1}\n"
        )
        fabric.publish(build_document(2, parts))
        fabric.run(3)
        ingress = next(iter(fabric.vms))
        fabric.hung_targets = {ingress}
        fabric.call(ingress, "r1", method="GET", path="/tickets")
        fabric.run(0.5)
        self.assertEqual(fabric.answers["r1"].outcome, "answered")
        self.assertEqual(fabric.nodes[ingress].distribution.counters["hedges"], 1)
        self.assertEqual(fabric.runs, {"members/r1": 2})
        self.assertIn("CancelAttempt", fabric.cancelled)
        fabric.call(ingress, "r2")
        fabric.run(2)
        self.assertEqual(fabric.runs["members/r2"], 1, "a charge is never hedged")

    def test_overload_answers_at_once_and_what_runs_is_answered(self):
        fabric = start_settled(1)
        ingress = next(iter(fabric.vms))
        for number in range(60):
            fabric.call(ingress, f"r{number}")
        fabric.run(0.1)
        waiting = 60 - len(fabric.answers)
        self.assertLessEqual(waiting, 2 + 2 * QUEUE_PER_SLOT)
        refused = [r for r in fabric.answers.values() if r.outcome == "not-run"]
        self.assertGreater(len(refused), 30)
        self.assertTrue(all(reply.retry_after_s > 0 for reply in refused))
        fabric.run(5)
        self.assertEqual(len(fabric.answers), 60)
        self.assertEqual(len(fabric.runs), 60 - len(refused))
        self.check_outcomes(fabric)

    def test_request_finishes_on_the_snapshot_that_it_began_on(self):
        fabric = start_settled()
        ingress = next(iter(fabric.vms))
        node = fabric.nodes[ingress]
        fabric.call(ingress, "r1", method="GET", path="/tickets")
        route = node.ingress.requests["r1"].route
        fabric.publish_config(2, path="/elsewhere")
        while node.distribution.snapshot.version.revision == 1:
            fabric.run(0.001)
        if "r1" in node.ingress.requests:
            self.assertIs(node.ingress.requests["r1"].route, route)
        fabric.run(2)
        self.assertEqual(fabric.answers["r1"].outcome, "answered")

    def test_leaving_vm_gets_no_new_work_within_three_seconds(self):
        fabric = start_settled()
        leaving = [make_vm(n, leaving=n == 2) for n in (1, 2, 3)]
        fabric.publish(make_vms_document(2, leaving))
        fabric.run(3)
        before = len(fabric.nodes["10.0.0.2:7002"].work.jobs)
        for number in range(60):
            fabric.call("10.0.0.1:7002", f"r{number}", method="GET", path="/tickets")
            routed = {
                attempt.vm.name
                for request in fabric.nodes["10.0.0.1:7002"].ingress.requests.values()
                for attempt in request.attempts.values()
            }
            self.assertNotIn("vm-2", routed)
            fabric.run(0.005)
        self.assertEqual(before, 0)
