"""Where work goes: the own failure domain while it serves in time, others after that.

Answers the pattern of uneven domains: each has callers of its own, but not the share
of targets that they need, and crossing between domains is dear. A node compares how
long work would take at each target by what the targets' nodes report with every reply
and by what it has sent itself since. It crosses only where the nearest target would
be late and a farther one would not.
"""

import math
from dataclasses import dataclass

# A report older than this is believed less and less: queues turn over within it.
REPORT_HALF_LIFE_S = 0.5
# Taken for the length of a run before a target has reported one.
DEFAULT_WORK_S = 0.15
# Share of the objective up to which the own domain is kept to. The rest covers the
# tail of service times.
NEAR_OBJECTIVE_SHARE = 0.8
# A farther target is worth a crossing if it answers within this share of the
# objective: the gap to the share above keeps work from moving on small differences.
FAR_OBJECTIVE_SHARE = 0.6
# Weight of the newest run in the length of a route's runs.
RUN_GAIN = 0.05
# The shortest time a target is left out after a failure to reach it, and the longest.
UNREACHABLE_BASE_S = 0.4
UNREACHABLE_MAX_S = 3.0
# A target whose node is about to end is left out for this long: the node has been
# replaced by then. Each reply that it still gives begins that time anew.
STOPPING_S = 2.0
# A target is ejected when this share of its recent answers are failures and its
# service as a whole does at most half as badly.
EJECTION_SHARE = 0.3
EJECTION_S = 2.0
# Failures are weighed over about this many answers.
FAILURE_GAIN = 0.1
# At most this share of a service's targets may be ejected at a time.
MAX_EJECTED_SHARE = 0.4
# A target that refused work is not asked again for work as urgent or less for this
# long. In an overload this spares the target and its node most of the asking.
REFUSAL_MEMORY_S = 0.12
# The same for a target in another failure domain, where asking in vain is dear.
FAR_REFUSAL_MEMORY_S = 0.4
# Waits are expected above this share of a limit: arrivals are uneven, and some targets
# slow down when they are nearly full.
KNEE_SHARE = 0.85
# A target without a report for this long is taken for a usual one of its service, and
# asked once, so that one that was slow is found again when it has recovered.
PROBE_AFTER_S = 1.5
# A call that this many targets of the own domain have refused goes to another domain if
# that has room: in a large domain views are old, and all of it may be full.
MAX_NEAR_ASKED = 2
# Targets that are compared for one choice at most, however many a service has.
MAX_RATED = 6
# The own target is kept to while it takes at most this many times as long as the best:
# it saves the way to another node and back.
OWN_TOLERANCE = 1.2


@dataclass(slots=True)
class TargetView:
    """What this node knows of one target; times in seconds of the loop."""

    load: object = None
    load_s: float = -math.inf
    in_flight: int = 0
    sent_since: float = 0.0
    sent_sum_s: float = 0.0
    failure_share: float = 0.0
    unreachable_count: int = 0
    out_until_s: float = -math.inf
    stopping_until_s: float = -math.inf
    refused_order: tuple = (0, False)
    refused_until_s: float = -math.inf
    retry_after_s: float = 0.0


class Placement:
    """Chooses targets by their estimated time to answer; changed in place.

    :param targets: the ``TargetList``.
    :param own_domain: the failure domain of this node.
    :param own_node: the address of this node as other nodes reach it.
    :param random: the seeded generator of the reducer.
    """

    def __init__(self, targets, own_domain, own_node, random):
        self.targets = targets
        self.own_domain = own_domain
        self.own_node = own_node
        self.random = random
        self.views = {}
        self.runs_s = {}
        self.urgent = frozenset()
        self._usual = {}

    def get_view(self, target):
        """Return what is known of a target, made on first use."""
        view = self.views.get(target.identity)
        if view is None:
            view = self.views[target.identity] = TargetView()
        return view

    def forget_absent(self):
        """Drop what is known of targets that are no longer listed."""
        known = {target.identity for target in self.targets.targets.values()}
        for identity in [item for item in self.views if item not in known]:
            if not self.views[identity].in_flight:
                del self.views[identity]

    def note_sent(self, target, now_s):
        """Count an attempt."""
        view = self.get_view(target)
        view.in_flight += 1
        view.sent_sum_s += now_s
        view.sent_since += 1

    def note_ended(self, target, sent_s):
        """Count an attempt out, whatever its end.

        :param sent_s: when it was sent, by the loop's time in seconds.
        """
        view = self.get_view(target)
        view.in_flight = max(0, view.in_flight - 1)
        view.sent_sum_s = view.sent_sum_s - sent_s if view.in_flight else 0.0

    def note_load(self, target, load, now_s):
        """Learn from the load that a target's node reported."""
        view = self.get_view(target)
        view.load = load
        view.load_s = now_s
        view.sent_since = 0.0
        view.unreachable_count = 0
        if load.stopping:
            view.stopping_until_s = now_s + STOPPING_S

    def note_run(self, target, route_name, ran_s):
        """Learn how long a route's runs take at a target of usual speed."""
        usual_s = ran_s / self._get_slowness(target)
        known_s = self.runs_s.get(route_name, usual_s)
        self.runs_s[route_name] = known_s + RUN_GAIN * (usual_s - known_s)

    def _get_slowness(self, target):
        """Return how long a target's runs are against those of its service."""
        load = self.get_view(target).load
        if load is None or load.work_s <= 0:
            return 1.0
        return load.work_s / max(1e-3, self._get_usual_work_s(target.service))

    def note_result(self, target, failed, now_s):
        """Learn whether a target's answer was good; return whether it is ejected."""
        view = self.get_view(target)
        view.failure_share += FAILURE_GAIN * (float(failed) - view.failure_share)
        if not failed or view.failure_share < EJECTION_SHARE:
            return False
        if now_s < view.out_until_s:
            return False
        peers = self.targets.list_service(target.service)
        shares = [self.get_view(peer).failure_share for peer in peers]
        out = sum(now_s < self.get_view(peer).out_until_s for peer in peers)
        if out + 1 > len(peers) * MAX_EJECTED_SHARE:
            return False
        if sorted(shares)[len(shares) // 2] > view.failure_share / 2:
            return False
        view.out_until_s = now_s + EJECTION_S
        # It is taken back on probation: another failure soon ejects it again.
        view.failure_share = EJECTION_SHARE * 0.75
        return True

    def note_unreachable(self, target, now_s):
        """Leave a target out for a while, longer each time in a row."""
        view = self.get_view(target)
        delay_s = UNREACHABLE_BASE_S * 2**view.unreachable_count
        view.unreachable_count = min(view.unreachable_count + 1, 8)
        delay_s = min(delay_s, UNREACHABLE_MAX_S) * self.random.uniform(0.75, 1.25)
        view.out_until_s = max(view.out_until_s, now_s + delay_s)

    def get_order(self, route, objective_left_s):
        """Return the place of work in a queue: rank, then whether it is late."""
        return (route.rank, objective_left_s < self.runs_s.get(route.name, 0.0))

    def note_refused(self, target, order, retry_after_s, now_s):
        """Remember that a target had no room for work of an order.

        Late work is refused sooner than work that can be in time, so its refusal says
        nothing of that.
        """
        view = self.get_view(target)
        if now_s >= view.refused_until_s or order < view.refused_order:
            view.refused_order = order
        near = target.failure_domain == self.own_domain
        memory_s = REFUSAL_MEMORY_S if near else FAR_REFUSAL_MEMORY_S
        view.refused_until_s = now_s + memory_s
        view.retry_after_s = retry_after_s

    def get_retry_after_s(self, service, now_s):
        """Return when the first target that refused work may have room, or 0."""
        views = map(self.get_view, self.targets.list_service(service))
        times = [view.retry_after_s for view in views if now_s < view.refused_until_s]
        return min(times, default=0.0)

    def set_routes(self, configuration):
        """Learn which routes are urgent: others of their services wait for them."""
        last = {}
        routes = [
            route
            for routes in configuration.hosts.values()
            for route in routes.values()
        ]
        for route in routes:
            for backend in route.backends:
                known = last.get(backend.service, route.rank)
                last[backend.service] = max(known, route.rank)
        self.urgent = {
            route.name
            for route in routes
            if all(route.rank < last[backend.service] for backend in route.backends)
        }

    def estimate_s(self, target, now_s, route_name=""):
        """Return how long work sent now is expected to take at a target.

        :param target: the candidate.
        :param now_s: the loop's time in seconds.
        :param route_name: the route of the work, whose runs may be longer or shorter
            than those of others.
        """
        view = self.get_view(target)
        load = view.load
        usual_s = self._get_usual_work_s(target.service)
        work_s = usual_s if load is None else load.work_s
        present, limit = self._expect_present(target, view, now_s)
        if now_s - view.load_s > PROBE_AFTER_S and not view.in_flight:
            work_s = min(work_s, usual_s)
        if view.in_flight:
            # A target that has become slow replies late, but its attempts age.
            work_s = max(work_s, now_s - view.sent_sum_s / view.in_flight)
        run_s = self.runs_s.get(route_name, usual_s) * work_s / max(1e-3, usual_s)
        if route_name in self.urgent:
            present = min(present, limit)  # it goes before what waits there
        over = max(0.0, present + 1 - KNEE_SHARE * limit)
        # Among targets with room the emptier one is a little better.
        spread = 0.1 * min(1.0, present / limit)
        return run_s * (1.0 + spread) + work_s * over / limit

    @staticmethod
    def _expect_present(target, view, now_s):
        """Return how much runs and waits at a target by now, and how much may run."""
        load = view.load
        if load is None:
            return max(view.sent_since, view.in_flight), target.slots
        age = (now_s - view.load_s) / REPORT_HALF_LIFE_S
        present = (load.busy + load.queued) * math.exp2(-age)
        return max(present + view.sent_since, view.in_flight), max(1, load.limit)

    def _has_room(self, target, now_s):
        """Return whether a target runs more work without a wait for anybody."""
        view = self.get_view(target)
        present, limit = self._expect_present(target, view, now_s)
        return present + 1 <= KNEE_SHARE * limit

    def _get_usual_work_s(self, service):
        """Return the median length of a run at the targets of a service.

        It is worked out anew after it was used as often as there are targets, so that
        a choice costs the same in a large service as in a small one.
        """
        value, left = self._usual.get(service, (0.0, 0))
        if left > 0:
            self._usual[service] = (value, left - 1)
            return value
        targets = self.targets.list_service(service)
        known = [
            view.load.work_s
            for view in map(self.get_view, targets)
            if view.load is not None
        ]
        value = sorted(known)[len(known) // 2] if known else DEFAULT_WORK_S
        self._usual[service] = (value, len(targets))
        return value

    def choose(self, service, excluded, route, objective_left_s, now_s):
        """Return the target for a piece of work, or None.

        :param service: the service to reach.
        :param excluded: identities of targets that were asked already.
        :param route: the ``HostRoute`` of the work.
        :param objective_left_s: the time in which the answer is still in time.
        :param now_s: the loop's time in seconds.
        """
        usable = self._list_usable(service, excluded, now_s)
        order = self.get_order(route, objective_left_s)
        open_ = [
            target for target in usable if not self._is_refusing(target, order, now_s)
        ]
        near = [item for item in open_ if item.failure_domain == self.own_domain]
        far = [item for item in open_ if item.failure_domain != self.own_domain]
        refused = self._count_near(service, excluded) >= MAX_NEAR_ASKED
        best, best_s = self._pick(near, now_s, route.name, True)
        in_time = best_s <= NEAR_OBJECTIVE_SHARE * objective_left_s
        if best is not None and in_time and not refused:
            return best
        other, other_s = self._pick(far, now_s, route.name, False)
        if other is not None and other_s <= FAR_OBJECTIVE_SHARE * objective_left_s:
            return other
        has_room = other is not None and self._has_room(other, now_s)
        if best is not None and not (refused and has_room):
            return best
        if other is None or has_room:
            return other
        # Where no domain has room, work that will be late does not cross, unless the
        # own domain has no target that may have room soon.
        served_here = any(item.failure_domain == self.own_domain for item in usable)
        return None if served_here else other

    def _count_near(self, service, identities):
        """Return how many of some targets are in the own domain."""
        if not identities:
            return 0
        return sum(
            target.identity in identities
            for target in self.targets.list_service(service)
            if target.failure_domain == self.own_domain
        )

    def _is_refusing(self, target, order, now_s):
        view = self.get_view(target)
        return now_s < view.refused_until_s and order >= view.refused_order

    def _list_usable(self, service, excluded, now_s):
        listed = [
            target
            for target in self.targets.list_service(service)
            if target.identity not in excluded and not target.leaving
        ]
        sound = [
            target
            for target in listed
            if now_s >= self.get_view(target).out_until_s
            and now_s >= self.get_view(target).stopping_until_s
        ]
        if sound:
            return sound
        # Better an uncertain target than none, but not one that is ending.
        return [
            item for item in listed if now_s >= self.get_view(item).stopping_until_s
        ]

    def _pick(self, candidates, now_s, route_name, prefer_own):
        """Return the candidate that is expected to be fastest, and its time."""
        if not candidates:
            return None, math.inf
        sampled = candidates
        if len(candidates) > 3:
            # Some of them at random, so that not all nodes choose the same one.
            count = min(MAX_RATED, max(2, len(candidates) // 2))
            sampled = self.random.sample(candidates, count)
        rated = [
            (self.estimate_s(target, now_s, route_name), self.random.random(), target)
            for target in sampled
        ]
        best_s, _, best = min(rated, key=lambda item: item[:2])
        if prefer_own:
            for target in candidates:
                if target.node_address == self.own_node:
                    own_s = self.estimate_s(target, now_s, route_name)
                    if own_s <= OWN_TOLERANCE * best_s:
                        return target, own_s
        return best, best_s
