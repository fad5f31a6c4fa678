"""Choice of a target: own failure domain first, two random choices, ejection.

Health and load endpoints lag or mislead, so the choice rests on what this node
observes itself and on the load that nodes report with each reply.
"""

from dataclasses import dataclass

LATENCY_GAIN = 0.2
LOAD_VALID_S = 2.0
SLOW_START_S = 10.0
SLOW_START_FLOOR = 0.1
EJECT_AFTER_FAILURES = 5
EJECTION_BASE_S = 5.0
EJECTION_MAX_S = 60.0
MAX_EJECTED_SHARE = 0.5
SPILL_UTILIZATION = 1.0
LOCAL_UTILIZATION = 0.5


@dataclass(slots=True)
class TargetStats:
    """What is known of one target; latency in seconds."""

    in_flight: int = 0
    latency_s: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    load: object = None
    load_s: float = 0.0


class Routing:
    """Statistics of targets by VM name; changed in place.

    :param membership: the node's ``Membership``.
    :param random: the seeded generator of the reducer.
    """

    def __init__(self, membership, random):
        self.membership = membership
        self.random = random
        self.stats = {}

    def get_stats(self, vm_name):
        """Return the statistics of a VM, made on first use."""
        stats = self.stats.get(vm_name)
        if stats is None:
            stats = self.stats[vm_name] = TargetStats()
        return stats

    def note_sent(self, vm_name):
        """Count an attempt in flight."""
        self.get_stats(vm_name).in_flight += 1

    def note_ended(self, vm_name):
        """Count an attempt out of flight, whatever its end."""
        stats = self.get_stats(vm_name)
        stats.in_flight = max(0, stats.in_flight - 1)

    def note_success(self, vm_name, latency_s):
        """Learn from a whole answer."""
        stats = self.get_stats(vm_name)
        stats.failures = 0
        stats.ejections = max(0, stats.ejections - 1)
        if stats.latency_s == 0.0:
            stats.latency_s = latency_s
        else:
            stats.latency_s += LATENCY_GAIN * (latency_s - stats.latency_s)

    def note_load(self, vm_name, load, now_s):
        """Learn from the load that a node reported with a reply."""
        if load is None:
            return
        stats = self.get_stats(vm_name)
        stats.load = load
        stats.load_s = now_s
        self.membership.note_draining(vm_name, load.draining, now_s)

    def note_failure(self, vm_name, service, now_s):
        """Learn from a failure; return whether the target was ejected for it.

        :param vm_name: the VM whose target failed.
        :param service: the service, for the floor on how many may be out.
        :param now_s: the loop's time in seconds.
        """
        stats = self.get_stats(vm_name)
        stats.failures += 1
        if stats.failures < EJECT_AFTER_FAILURES or now_s < stats.ejected_until_s:
            return False
        members = self.membership.list_service(service)
        out = sum(now_s < self.get_stats(vm.name).ejected_until_s for vm in members)
        if out + 1 > len(members) * MAX_EJECTED_SHARE:
            return False
        stats.ejections += 1
        delay_s = EJECTION_BASE_S * 2 ** (stats.ejections - 1)
        stats.ejected_until_s = now_s + min(EJECTION_MAX_S, delay_s)
        stats.failures = 0
        return True

    def forget_absent(self):
        """Drop statistics of VMs that are in no list any more."""
        known = self.membership.vms
        for name in [name for name in self.stats if name not in known]:
            del self.stats[name]

    def estimate_utilization(self, vm, slots, now_s):
        """Return the expected work at a target in units of its capacity.

        :param vm: the candidate.
        :param slots: the concurrency limit of a target of its service.
        :param now_s: the loop's time in seconds.
        """
        stats = self.get_stats(vm.name)
        work = stats.in_flight
        if stats.load is not None and now_s - stats.load_s < LOAD_VALID_S:
            work = max(work, stats.load.busy + stats.load.queued)
        age_s = now_s - self.membership.joined_s.get(vm.name, float("-inf"))
        ramp = max(SLOW_START_FLOOR, min(1.0, age_s / SLOW_START_S))
        return work / (slots * ramp)

    def choose(self, service, excluded, now_s):
        """Return the VM for a new piece of work, or None.

        :param service: the ``snapshots.Service`` to reach.
        :param excluded: names of VMs that were tried already.
        :param now_s: the loop's time in seconds.
        """
        usable = [
            vm
            for vm in self.membership.list_service(service.name)
            if vm.name not in excluded
            and self.membership.takes_work(vm, now_s)
            and not self.membership.is_suspected(vm.peer_address, now_s)
        ]
        usable = self._drop_ejected(usable, now_s)
        own = self.membership.own
        near = [vm for vm in usable if vm.failure_domain == own.failure_domain]
        for vm in near:
            if vm.name == own.name:
                use = self.estimate_utilization(vm, service.slots, now_s)
                if use < LOCAL_UTILIZATION:
                    return vm
        far = [vm for vm in usable if vm.failure_domain != own.failure_domain]
        best, best_use = self._pick_of_two(near, service, now_s)
        if best is not None and best_use < SPILL_UTILIZATION:
            return best
        other, other_use = self._pick_of_two(far, service, now_s)
        if best is None or (other is not None and other_use < best_use):
            return other
        return best

    def _drop_ejected(self, vms, now_s):
        kept = [vm for vm in vms if now_s >= self.get_stats(vm.name).ejected_until_s]
        return kept or vms

    def _pick_of_two(self, vms, service, now_s):
        if not vms:
            return None, 0.0
        pair = self.random.sample(vms, min(2, len(vms)))
        rated = []
        for vm in pair:
            use = self.estimate_utilization(vm, service.slots, now_s)
            rated.append((use, self.get_stats(vm.name).latency_s, vm))
        # Equals stay in the order in which they were drawn.
        use, _, best = min(rated, key=lambda item: item[:2])
        return best, use
