"""Tests of routing and membership: choice of targets, ejection, key ranking."""

import unittest
from collections import Counter
from random import Random

from balsamdeal.core.membership import Membership, rank
from balsamdeal.core.replies import Load
from balsamdeal.core.routing import EJECT_AFTER_FAILURES, Routing
from balsamdeal.snapshots import Service
from tests.core.fakes import make_vm

SERVICE = Service("desk", 2, 10, {})
BUSY = Load(2, 8, 2, False)


class RoutingTest(unittest.TestCase):
    """Four VMs in two failure domains; the choosing VM is not in the VM list."""

    def setUp(self):
        own = make_vm(99)
        self.membership = Membership(own, ())
        self.vms = [make_vm(n, "duluth" if n < 3 else "erie") for n in (1, 2, 3, 4)]
        self.membership.replace_vms({vm.name: vm for vm in self.vms}, 1, 0.0)
        self.routing = Routing(self.membership, Random(1))

    def choose(self, now_s=1.0, times=200):
        """Return how often each VM is chosen in a number of choices."""
        chosen = (self.routing.choose(SERVICE, (), now_s) for _ in range(times))
        return Counter(vm.name if vm else None for vm in chosen)

    def test_own_failure_domain_comes_first(self):
        self.assertEqual(set(self.choose()), {"vm-1", "vm-2"})

    def test_work_spills_over_when_the_own_failure_domain_has_queues(self):
        for name in ("vm-1", "vm-2"):
            self.routing.record_load(name, BUSY, 1.0)
        self.assertEqual(set(self.choose()), {"vm-3", "vm-4"})
        self.assertEqual(set(self.choose(now_s=9.0)), {"vm-1", "vm-2"})

    def test_partitioned_failure_domain_uses_its_own_targets(self):
        for vm in self.vms[2:]:
            self.membership.suspect(vm.peer_address, 1.0)
        for name in ("vm-1", "vm-2"):
            self.routing.record_load(name, BUSY, 1.0)
        self.assertEqual(set(self.choose()), {"vm-1", "vm-2"})

    def test_failing_targets_are_ejected_up_to_half(self):
        for vm in self.vms:
            for _ in range(EJECT_AFTER_FAILURES):
                self.routing.record_failure(vm.name, "desk", 1.0)
        self.assertEqual(set(self.choose()), {"vm-3", "vm-4"})
        self.assertEqual(set(self.choose(now_s=30.0)), {"vm-1", "vm-2"})

    def test_new_target_starts_slowly(self):
        new_vm = make_vm(5)
        vms = [*self.vms, new_vm]
        self.membership.replace_vms({vm.name: vm for vm in vms}, 2, 100.0)
        for name in ("vm-1", "vm-2", "vm-5"):
            self.routing.record_sent(name)
        early = self.choose(now_s=100.5)["vm-5"]
        late = self.choose(now_s=120.0)["vm-5"]
        self.assertLess(early, late / 3)

    def test_draining_and_leaving_targets_are_not_chosen(self):
        self.membership.record_draining("vm-1", True, 1.0)
        self.assertEqual(set(self.choose()), {"vm-2"})
        leaving = [make_vm(2, leaving=True), *self.vms[2:]]
        self.membership.replace_vms({vm.name: vm for vm in leaving}, 2, 1.0)
        self.assertEqual(set(self.choose()), {"vm-3", "vm-4"})

    def test_losing_one_vm_moves_only_its_own_keys(self):
        moved = 0
        for number in range(200):
            before = rank(f"key{number}", self.vms)
            after = rank(f"key{number}", self.vms[:3])
            if before[0] is not self.vms[3]:
                moved += before[0] is not after[0]
        self.assertEqual(moved, 0)
