"""Chooses a target: in the own failure domain while that meets the objective.

Each failure domain has callers of its own, but not always the share of targets that
they need, and traffic between domains is expensive. A node estimates how long work
would take at each target from the load that the target's node reports with every reply
and from the attempts that it has sent since. It sends work to another domain only if
the best target of its own would miss the objective and one there would not.

Near targets are those in the own failure domain, far ones those in others.
"""

import math
from dataclasses import dataclass

# The weight of a reported load halves in this time, in which queues turn over.
REPORT_HALF_LIFE_S = 0.5
# Length of a run assumed until a target has reported one.
DEFAULT_WORK_S = 0.15
# A near target is chosen if its estimate is within this share of the objective. The
# rest covers the tail of service times.
NEAR_OBJECTIVE_SHARE = 0.8
# A far target is chosen if its estimate is within this share of the objective: the gap
# to the share above keeps work from changing domains for small differences.
FAR_OBJECTIVE_SHARE = 0.6
# Weight of the newest run in the moving average of a route's run lengths.
RUN_EWMA_WEIGHT = 0.05
# Shortest and longest exclusion of a target after a failure to reach it.
UNREACHABLE_BACKOFF_BASE_S = 0.4
UNREACHABLE_BACKOFF_MAX_S = 3.0
# How long a target is excluded after its node reported that it is stopping: the node
# has been replaced by then. Each further such reply restarts that time.
STOPPING_EXCLUSION_S = 2.0
# A target is ejected when at least this share of its recent answers are failures and
# the median share of its service is at most half of its own.
EJECTION_FAILURE_SHARE = 0.3
EJECTION_S = 2.0
# Weight of the newest answer in a target's share of failures, so that the share covers
# about the last ten answers.
FAILURE_EWMA_WEIGHT = 0.1
# At most this share of a service's targets may be ejected at a time.
MAX_EJECTED_SHARE = 0.4
# How long a target that refused work is sent no work of the same or lower priority. In
# an overload this avoids most attempts that would be refused.
REFUSAL_MEMORY_S = 0.12
# The same for a far target, where an attempt that is refused costs more.
FAR_REFUSAL_MEMORY_S = 0.4
# Work is expected to wait above this share of a target's limit: arrivals are uneven,
# and some targets slow down when they are nearly full.
KNEE_SHARE = 0.85
# A target without a report for this long is assumed to be no slower than the median of
# its service while no attempt to it is in flight, so that a target that was slow is
# used again after it has recovered.
PROBE_AFTER_S = 1.5
# A call that was tried at this many near targets goes to another domain if that has
# room: in a large domain the reported loads are old, and all of it may be full.
MAX_NEAR_TRIED = 2
# From this mean size on, an answer is large: it holds a narrow link for long, and costs
# more between domains than most requests are worth.
LARGE_ANSWER_BYTES = 16_384
# Work with a large answer goes to another domain only if it is expected to take longer
# than this share of its time left in the own one.
LARGE_ANSWER_NEAR_SHARE = 0.5
# Weight of the newest answer in the moving average of a route's answer sizes.
SIZE_EWMA_WEIGHT = 0.1
# Most targets sampled for one choice, however many a service has.
MAX_COMPARED = 6
# This node's own target is preferred while its estimate is at most this many times the
# best one: it saves the round trip to another node.
LOCAL_TARGET_FACTOR = 1.2


@dataclass(slots=True)
class TargetView:
    """What this node knows of one target; times are the loop's, in seconds.

    ``sent_since_load`` counts attempts sent since the load was reported,
    ``sent_time_sum_s`` adds up the times at which those in flight were sent.
    ``excluded_until_s`` covers ejection and failures to reach the target.
    ``refused_priority`` is the most urgent priority that was refused lately.
    ``link_mbps`` is the bandwidth of the link of the target's VM, 0 if it has not been
    reported, and ``large_sent_since_load`` counts attempts with large answers.
    """

    load: object = None
    load_s: float = -math.inf
    in_flight: int = 0
    sent_since_load: float = 0.0
    sent_time_sum_s: float = 0.0
    failure_share: float = 0.0
    unreachable_count: int = 0
    excluded_until_s: float = -math.inf
    stopping_until_s: float = -math.inf
    refused_priority: tuple = (0, False)
    refused_until_s: float = -math.inf
    retry_after_s: float = 0.0
    link_mbps: float = 0.0
    large_sent_since_load: int = 0


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
        self.route_runs_s = {}
        self.answer_bytes = {}
        self.urgent_routes = frozenset()
        self._medians = {}

    def get_view(self, target):
        """Return the ``TargetView`` of a target, created on first use."""
        view = self.views.get(target.identity)
        if view is None:
            view = self.views[target.identity] = TargetView()
        return view

    def drop_unlisted(self):
        """Drop the views of unlisted targets without an attempt in flight."""
        known = {target.identity for target in self.targets.targets.values()}
        for identity in [item for item in self.views if item not in known]:
            if not self.views[identity].in_flight:
                del self.views[identity]

    def record_sent(self, target, now_s, route_name=""):
        """Count an attempt as in flight."""
        view = self.get_view(target)
        view.large_sent_since_load += self._has_large_answers(route_name)
        view.in_flight += 1
        view.sent_time_sum_s += now_s
        view.sent_since_load += 1

    def record_ended(self, target, sent_s):
        """Count an attempt as ended, whatever its outcome.

        :param sent_s: when it was sent, by the loop's time in seconds.
        """
        view = self.get_view(target)
        view.in_flight = max(0, view.in_flight - 1)
        view.sent_time_sum_s = view.sent_time_sum_s - sent_s if view.in_flight else 0.0

    def record_load(self, target, load, now_s):
        """Record the ``NodeLoad`` that a target's node reported."""
        view = self.get_view(target)
        view.load = load
        view.load_s = now_s
        view.sent_since_load = 0.0
        view.large_sent_since_load = 0
        view.unreachable_count = 0
        if load.link is not None:
            view.link_mbps = load.link.mbps
        if load.stopping:
            view.stopping_until_s = now_s + STOPPING_EXCLUSION_S

    def record_run(self, target, route_name, ran_s, answer_bytes=0):
        """Update a route's averages after a run.

        These are the run length, scaled to a target of median speed, and the size of an
        answer in bytes.
        """
        known = self.answer_bytes.get(route_name, answer_bytes)
        known += SIZE_EWMA_WEIGHT * (answer_bytes - known)
        self.answer_bytes[route_name] = known
        median_s = ran_s / self._get_slowness(target)
        known_s = self.route_runs_s.get(route_name, median_s)
        self.route_runs_s[route_name] = known_s + RUN_EWMA_WEIGHT * (median_s - known_s)

    def _get_slowness(self, target):
        """Return the ratio of a target's run length to its service's median."""
        load = self.get_view(target).load
        if load is None or load.work_s <= 0:
            return 1.0
        return load.work_s / max(1e-3, self._get_median_work_s(target.service))

    def record_result(self, target, failed, now_s):
        """Update a target's share of failures; return whether it is now ejected."""
        view = self.get_view(target)
        view.failure_share += FAILURE_EWMA_WEIGHT * (float(failed) - view.failure_share)
        if not failed or view.failure_share < EJECTION_FAILURE_SHARE:
            return False
        if now_s < view.excluded_until_s:
            return False
        peers = self.targets.list_service(target.service)
        shares = [self.get_view(peer).failure_share for peer in peers]
        excluded_count = sum(
            now_s < self.get_view(peer).excluded_until_s for peer in peers
        )
        if excluded_count + 1 > len(peers) * MAX_EJECTED_SHARE:
            return False
        if sorted(shares)[len(shares) // 2] > view.failure_share / 2:
            return False
        view.excluded_until_s = now_s + EJECTION_S
        # Close to the threshold: a failure soon after its return ejects it again.
        view.failure_share = EJECTION_FAILURE_SHARE * 0.75
        return True

    def record_unreachable(self, target, now_s):
        """Exclude a target for a while, with exponential backoff and jitter."""
        view = self.get_view(target)
        delay_s = UNREACHABLE_BACKOFF_BASE_S * 2**view.unreachable_count
        view.unreachable_count = min(view.unreachable_count + 1, 8)
        delay_s = min(delay_s, UNREACHABLE_BACKOFF_MAX_S) * self.random.uniform(
            0.75, 1.25
        )
        view.excluded_until_s = max(view.excluded_until_s, now_s + delay_s)

    def get_priority(self, route, objective_left_s):
        """Return the priority of work: rank, then whether it is late.

        Lower is more urgent. Work is late if it is expected to miss its objective.
        """
        return (route.rank, objective_left_s < self.route_runs_s.get(route.name, 0.0))

    def record_refused(self, target, priority, retry_after_s, now_s):
        """Record that a target had no room for work of a priority.

        Late work is refused sooner than work that can be in time, so a refusal of late
        work does not imply that the target has no room for the other.
        """
        view = self.get_view(target)
        if now_s >= view.refused_until_s or priority < view.refused_priority:
            view.refused_priority = priority
        near = target.failure_domain == self.own_domain
        memory_s = REFUSAL_MEMORY_S if near else FAR_REFUSAL_MEMORY_S
        view.refused_until_s = now_s + memory_s
        view.retry_after_s = retry_after_s

    def get_retry_after_s(self, service, now_s):
        """Return the shortest Retry-After of recent refusals in seconds, or 0."""
        views = map(self.get_view, self.targets.list_service(service))
        times = [view.retry_after_s for view in views if now_s < view.refused_until_s]
        return min(times, default=0.0)

    def set_routes(self, configuration):
        """Find the urgent routes, and drop the averages of removed ones.

        Each service of an urgent route has a less urgent one.
        """
        max_ranks = {}
        routes = [
            route
            for routes in configuration.hosts.values()
            for route in routes.values()
        ]
        for route in routes:
            for backend in route.backends:
                known = max_ranks.get(backend.service, route.rank)
                max_ranks[backend.service] = max(known, route.rank)
        names = {route.name for route in routes}
        for averages in (self.route_runs_s, self.answer_bytes):
            for name in averages.keys() - names:
                del averages[name]
        self.urgent_routes = {
            route.name
            for route in routes
            if all(
                route.rank < max_ranks[backend.service] for backend in route.backends
            )
        }

    def estimate_s(self, target, now_s, route_name=""):
        """Return the seconds that work sent now is expected to take at a target.

        :param target: the candidate.
        :param now_s: the loop's time in seconds.
        :param route_name: the route of the work, whose runs may be longer or shorter
            than those of others.
        """
        view = self.get_view(target)
        load = view.load
        median_s = self._get_median_work_s(target.service)
        work_s = median_s if load is None else load.work_s
        occupancy, limit = self._estimate_occupancy(target, view, now_s)
        if now_s - view.load_s > PROBE_AFTER_S and not view.in_flight:
            work_s = min(work_s, median_s)
        if view.in_flight:
            # A target that has become slow replies late, so its load is out of date,
            # but the mean age of its attempts in flight grows.
            work_s = max(work_s, now_s - view.sent_time_sum_s / view.in_flight)
        run_s = (
            self.route_runs_s.get(route_name, median_s) * work_s / max(1e-3, median_s)
        )
        if route_name in self.urgent_routes:
            occupancy = min(occupancy, limit)  # ahead of all waiting work
        excess = max(0.0, occupancy + 1 - KNEE_SHARE * limit)
        # Among targets with room, prefers the less occupied ones a little.
        occupancy_penalty = 0.1 * min(1.0, occupancy / limit)
        link_s = self._estimate_link_s(target, view, route_name, run_s, now_s)
        return run_s * (1.0 + occupancy_penalty) + work_s * excess / limit + link_s

    def _has_large_answers(self, route_name):
        return self.answer_bytes.get(route_name, 0.0) >= LARGE_ANSWER_BYTES

    def _estimate_link_s(self, target, view, route_name, run_s, now_s):
        """Return how long a large answer waits for the target's link and is on it."""
        if not view.link_mbps or not self._has_large_answers(route_name):
            return 0.0
        if target.node_address == self.own_node:
            return 0.0
        transfer_s = self.answer_bytes[route_name] * 8 / (view.link_mbps * 1e6)
        reported = view.load.link if view.load is not None else None
        wait_s = reported.wait_s - (now_s - view.load_s) if reported else 0.0
        wait_s = max(0.0, wait_s) + view.large_sent_since_load * transfer_s
        return max(0.0, wait_s - run_s) + transfer_s

    @staticmethod
    def _estimate_occupancy(target, view, now_s):
        """Return how much work is expected at a target now, and its limit of runs."""
        load = view.load
        if load is None:
            return max(view.sent_since_load, view.in_flight), target.slots
        age_s = now_s - view.load_s
        limit = max(1, load.limit)
        if age_s > PROBE_AFTER_S and not view.in_flight:
            # Only an answer tells when a target's limit of requests has ended.
            limit = max(limit, target.slots)
        occupancy = (load.busy + load.queued) * math.exp2(-age_s / REPORT_HALF_LIFE_S)
        return max(occupancy + view.sent_since_load, view.in_flight), limit

    def _has_room(self, target, now_s):
        """Return whether a target can run more work without queueing."""
        view = self.get_view(target)
        occupancy, limit = self._estimate_occupancy(target, view, now_s)
        return occupancy + 1 <= KNEE_SHARE * limit

    def _get_median_work_s(self, service):
        """Return the median length of a run at the targets of a service.

        The value is cached and computed again after as many uses as the service has
        targets, so that a choice costs the same in a large service as in a small one.
        """
        value, left = self._medians.get(service, (0.0, 0))
        if left > 0:
            self._medians[service] = (value, left - 1)
            return value
        targets = self.targets.list_service(service)
        known = [
            view.load.work_s
            for view in map(self.get_view, targets)
            if view.load is not None
        ]
        value = sorted(known)[len(known) // 2] if known else DEFAULT_WORK_S
        self._medians[service] = (value, len(targets))
        return value

    def choose(
        self, service, excluded, route, objective_left_s, now_s, time_left_s=0.0
    ):
        """Return the target for a piece of work, or None.

        :param service: the service to reach.
        :param excluded: identities of targets that were tried already.
        :param route: the ``HostRoute`` of the work.
        :param objective_left_s: the time left to meet the objective, in seconds.
        :param now_s: the loop's time in seconds.
        :param time_left_s: the time left to answer the caller, in seconds.
        """
        usable = self._list_usable(service, excluded, now_s)
        priority = self.get_priority(route, objective_left_s)
        accepting = [
            target
            for target in usable
            if not self._is_refusing(target, priority, now_s)
        ]
        near = [item for item in accepting if item.failure_domain == self.own_domain]
        far = [item for item in accepting if item.failure_domain != self.own_domain]
        near_exhausted = self._count_in_own_domain(service, excluded) >= MAX_NEAR_TRIED
        best, best_s = self._pick(near, now_s, route.name, True)
        in_time = best_s <= NEAR_OBJECTIVE_SHARE * objective_left_s
        if best is not None and in_time and not near_exhausted:
            return best
        if best is not None and self._has_large_answers(route.name):
            if best_s <= LARGE_ANSWER_NEAR_SHARE * time_left_s:
                return best
        far_best, far_best_s = self._pick(far, now_s, route.name, False)
        if (
            far_best is not None
            and far_best_s <= FAR_OBJECTIVE_SHARE * objective_left_s
        ):
            return far_best
        has_room = far_best is not None and self._has_room(far_best, now_s)
        if best is not None and not (near_exhausted and has_room):
            return best
        if far_best is None or has_room:
            return far_best
        # If no domain has room, work that will be late stays in the own domain if that
        # has a usable target: one that refuses work now may have room soon.
        has_near_target = any(item.failure_domain == self.own_domain for item in usable)
        return None if has_near_target else far_best

    def _count_in_own_domain(self, service, identities):
        """Return how many of the identified targets are in the own domain."""
        if not identities:
            return 0
        return sum(
            target.identity in identities
            for target in self.targets.list_service(service)
            if target.failure_domain == self.own_domain
        )

    def _is_refusing(self, target, priority, now_s):
        view = self.get_view(target)
        return now_s < view.refused_until_s and priority >= view.refused_priority

    def _list_usable(self, service, excluded, now_s):
        listed = [
            target
            for target in self.targets.list_service(service)
            if target.identity not in excluded and not self.targets.is_leaving(target)
        ]
        available = [
            target
            for target in listed
            if now_s >= self.get_view(target).excluded_until_s
            and now_s >= self.get_view(target).stopping_until_s
        ]
        if available:
            return available
        # Without a better one, excluded targets are used, but none that is stopping.
        return [
            item for item in listed if now_s >= self.get_view(item).stopping_until_s
        ]

    def _pick(self, candidates, now_s, route_name, prefer_local):
        """Return the candidate with the shortest estimate, and that estimate.

        :param prefer_local: whether this node's own target may be slightly slower.
        """
        if not candidates:
            return None, math.inf
        sampled = candidates
        if len(candidates) > 3:
            # A random sample, so that not all nodes choose the same target.
            count = min(MAX_COMPARED, max(2, len(candidates) // 2))
            sampled = self.random.sample(candidates, count)
        rated = [
            (self.estimate_s(target, now_s, route_name), self.random.random(), target)
            for target in sampled
        ]
        best_s, _, best = min(rated, key=lambda item: item[:2])
        if prefer_local:
            for target in candidates:
                if target.node_address == self.own_node:
                    local_s = self.estimate_s(target, now_s, route_name)
                    if local_s <= LOCAL_TARGET_FACTOR * best_s:
                        return target, local_s
        return best, best_s
