"""Choice of a target: own failure domain first, best of two random, ejection.

Health and load endpoints can be outdated or wrong. The choice therefore depends on
what this node observes itself and on the load that nodes report with each reply.
"""

from dataclasses import dataclass

LATENCY_EWMA_WEIGHT = 0.2
LOAD_MAX_AGE_S = 2.0
SLOW_START_S = 10.0
SLOW_START_MIN_SHARE = 0.1
EJECT_AFTER_FAILURES = 5
EJECTION_BASE_S = 5.0
EJECTION_MAX_S = 60.0
MAX_EJECTED_SHARE = 0.5
SPILL_UTILIZATION = 1.0
OWN_VM_MAX_UTILIZATION = 0.5


@dataclass(slots=True)
class TargetStats:
    """Observations of one target; times are the loop's, in seconds.

    ``latency_s`` is a moving average; ``load`` is the ``replies.Load`` that was
    received at ``load_received_s``. ``ejections`` is the exponent of the next
    ejection's duration; each success lowers it by one.
    """

    in_flight: int = 0
    latency_s: float = 0.0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    load: object = None
    load_received_s: float = 0.0


class Routing:
    """Statistics of targets by VM name, and the choice of a target; changed in place.

    :param membership: the node's ``Membership``.
    :param random: the seeded random generator.
    """

    def __init__(self, membership, random):
        self.membership = membership
        self.random = random
        self.stats = {}

    def get_stats(self, vm_name):
        """Return the statistics of a VM's target, created on first use."""
        stats = self.stats.get(vm_name)
        if stats is None:
            stats = self.stats[vm_name] = TargetStats()
        return stats

    def record_sent(self, vm_name):
        """Count a sent attempt as in flight."""
        self.get_stats(vm_name).in_flight += 1

    def record_ended(self, vm_name):
        """Stop counting an attempt as in flight, however it ended."""
        stats = self.get_stats(vm_name)
        stats.in_flight = max(0, stats.in_flight - 1)

    def record_success(self, vm_name, latency_s):
        """Update latency and failure counts after a complete answer."""
        stats = self.get_stats(vm_name)
        stats.consecutive_failures = 0
        stats.ejections = max(0, stats.ejections - 1)
        if stats.latency_s == 0.0:
            stats.latency_s = latency_s
        else:
            stats.latency_s += LATENCY_EWMA_WEIGHT * (latency_s - stats.latency_s)

    def record_load(self, vm_name, load, now_s):
        """Store the load and draining state that a node reported with a reply."""
        if load is None:
            return
        stats = self.get_stats(vm_name)
        stats.load = load
        stats.load_received_s = now_s
        self.membership.record_draining(vm_name, load.draining, now_s)

    def record_failure(self, vm_name, service, now_s):
        """Count a failure; return whether the target was ejected for it.

        That takes EJECT_AFTER_FAILURES failures in a row. At most MAX_EJECTED_SHARE of
        a service's targets are ejected at a time.

        :param vm_name: the VM whose target failed.
        :param service: the service's name.
        :param now_s: the loop's time in seconds.
        """
        stats = self.get_stats(vm_name)
        stats.consecutive_failures += 1
        if (
            stats.consecutive_failures < EJECT_AFTER_FAILURES
            or now_s < stats.ejected_until_s
        ):
            return False
        members = self.membership.list_service(service)
        ejected_count = sum(
            now_s < self.get_stats(vm.name).ejected_until_s for vm in members
        )
        if ejected_count + 1 > len(members) * MAX_EJECTED_SHARE:
            return False
        stats.ejections += 1
        delay_s = EJECTION_BASE_S * 2 ** (stats.ejections - 1)
        stats.ejected_until_s = now_s + min(EJECTION_MAX_S, delay_s)
        stats.consecutive_failures = 0
        return True

    def drop_removed_vms(self):
        """Drop the statistics of VMs that are no longer in the VM list."""
        known = self.membership.vms
        for name in [name for name in self.stats if name not in known]:
            del self.stats[name]

    def estimate_utilization(self, vm, slots, now_s):
        """Return the expected work at a target as a share of its capacity.

        The capacity of a VM that joined recently is taken as smaller (slow start).

        :param vm: the candidate.
        :param slots: the concurrency limit of each target of the service.
        :param now_s: the loop's time in seconds.
        """
        stats = self.get_stats(vm.name)
        outstanding = stats.in_flight
        if stats.load is not None and now_s - stats.load_received_s < LOAD_MAX_AGE_S:
            outstanding = max(outstanding, stats.load.busy + stats.load.queued)
        age_s = now_s - self.membership.joined_s.get(vm.name, float("-inf"))
        ramp = max(SLOW_START_MIN_SHARE, min(1.0, age_s / SLOW_START_S))
        return outstanding / (slots * ramp)

    def choose(self, service, excluded, now_s):
        """Return the VM for a new piece of work, or None.

        This node's own VM is chosen while its utilization is below
        OWN_VM_MAX_UTILIZATION, and else a VM of the own failure domain below
        SPILL_UTILIZATION. Above that, the less used candidate of the own and the
        other failure domains is chosen. Ejected targets are used only if no other is
        left.

        :param service: the ``snapshots.Service`` to reach.
        :param excluded: names of VMs that were tried already.
        :param now_s: the loop's time in seconds.
        """
        usable = [
            vm
            for vm in self.membership.list_service(service.name)
            if vm.name not in excluded
            and self.membership.accepts_work(vm, now_s)
            and not self.membership.is_suspected(vm.peer_address, now_s)
        ]
        usable = self._drop_ejected(usable, now_s)
        own = self.membership.own
        local = [vm for vm in usable if vm.failure_domain == own.failure_domain]
        for vm in local:
            if vm.name == own.name:
                utilization = self.estimate_utilization(vm, service.slots, now_s)
                if utilization < OWN_VM_MAX_UTILIZATION:
                    return vm
        remote = [vm for vm in usable if vm.failure_domain != own.failure_domain]
        best, best_utilization = self._pick_of_two(local, service, now_s)
        if best is not None and best_utilization < SPILL_UTILIZATION:
            return best
        other, other_utilization = self._pick_of_two(remote, service, now_s)
        if best is None or (other is not None and other_utilization < best_utilization):
            return other
        return best

    def _drop_ejected(self, vms, now_s):
        kept = [vm for vm in vms if now_s >= self.get_stats(vm.name).ejected_until_s]
        return kept or vms

    def _pick_of_two(self, vms, service, now_s):
        if not vms:
            return None, 0.0
        pair = self.random.sample(vms, min(2, len(vms)))
        candidates = []
        for vm in pair:
            utilization = self.estimate_utilization(vm, service.slots, now_s)
            candidates.append((utilization, self.get_stats(vm.name).latency_s, vm))
        # On a tie the VM that was drawn first is chosen.
        utilization, _, best = min(candidates, key=lambda item: item[:2])
        return best, utilization
