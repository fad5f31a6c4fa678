"""The node: a single reducer for all events.

``Node.reduce`` changes the state in place and returns effects as data. Each component
of the node owns its state; copying it for each event would cost more than the
decisions. The reducer is deterministic: equal events give equal effects, whichever
shell delivers them.
"""

from random import Random

from balsamdeal.core import effects, events, work
from balsamdeal.core.distribution import COMPARE_INTERVAL_S, Distribution
from balsamdeal.core.ingress import Ingress
from balsamdeal.core.membership import Membership
from balsamdeal.core.outcome_queries import QUERY_TIMER, OutcomeQueries
from balsamdeal.core.routing import Routing
from balsamdeal.core.work import JobTable
from balsamdeal.documents import CONFIG

PAUSE_BOUND_S = 0.5


class Node:
    """State of a node, and the table of its event handlers.

    :param own: the ``snapshots.Vm`` of this node.
    :param seeds: peer addresses to contact at the start.
    :param variant: the distribution variant, one of ``distribution.VARIANTS``.
    :param fleet_size: the expected number of nodes.
    :param seed: the seed of the random generators.
    :param policy: the ``key_records.KeyPolicy``.
    :param compare_interval_s: the mean time between comparisons, in seconds.
    """

    def __init__(
        self,
        own,
        seeds,
        variant,
        fleet_size,
        seed,
        policy,
        compare_interval_s=COMPARE_INTERVAL_S,
    ):
        self.own = own
        self.membership = Membership(own, seeds)
        self.distribution = Distribution(
            self.membership, variant, fleet_size, seed, compare_interval_s
        )
        self.routing = Routing(self.membership, Random(seed + 1))
        self.ingress = Ingress(self.distribution, self.routing)
        self.outcome_queries = OutcomeQueries(self.distribution, policy)
        self.work = JobTable(self.distribution, own, policy)
        self._last_event_s = None
        self._resumed_s = None
        self._handlers = {
            events.Started: self._start,
            events.Ticked: self._tick,
            events.TimerFired: self._fire_timer,
            events.DrainRequested: self._drain,
            events.SourceAnswered: self.distribution.handle_source_answer,
            events.SourceFailed: self.distribution.handle_source_failure,
            events.PeerViewReceived: self._answer_comparison,
            events.PeerAnswered: self._handle_peer_answer,
            events.PeerFailed: self.distribution.handle_peer_failure,
            events.DeltaPulled: self.distribution.handle_delta,
            events.VersionHinted: self._handle_version_hint,
            events.RequestReceived: self.ingress.receive,
            events.CallerLeft: self.ingress.handle_caller_left,
            events.AttemptAnswered: self.ingress.handle_reply,
            events.AttemptFailed: self.ingress.handle_failure,
            events.OutcomeQueried: self.outcome_queries.begin,
            events.WorkReceived: self.work.receive,
            events.WorkAbandoned: self.work.abandon,
            events.TargetAnswered: self.work.handle_target_answer,
            events.TargetFailed: self.work.handle_target_failure,
            events.InquiryReceived: self.work.answer_inquiry,
            events.InquiryAnswered: self._handle_finding,
        }

    @classmethod
    def from_config(cls, settings):
        """Return the node that the settings describe.

        :param settings: a checked ``settings.Settings``.
        """
        return cls(
            settings.own_vm,
            settings.seeds,
            settings.distribution,
            settings.fleet_size,
            settings.seed,
            settings.key_policy,
            settings.compare_interval_s,
        )

    def reduce(self, event):
        """Return the effects of an event.

        :param event: one of ``events``; ``now_s`` must not decrease between calls.
        """
        result = self._detect_pause(event.now_s)
        return result + self._handlers[type(event)](event)

    def _detect_pause(self, now_s):
        """Detect a pause of the process by a gap of PAUSE_BOUND_S between events.

        After a pause, new requests are held back until the versions are confirmed to
        be current, or until a bound passes.
        """
        last_s = self._last_event_s
        self._last_event_s = now_s
        if last_s is None or now_s - last_s < PAUSE_BOUND_S:
            return []
        if self.distribution.starting:
            return []
        self._resumed_s = now_s
        self.work.resumed_s = now_s
        self.ingress.hold_requests(now_s)
        self.distribution.count("pauses")
        report = effects.ReportChange("resumed", {"paused_s": round(now_s - last_s, 2)})
        return [report, *self.distribution.resume(now_s)]

    def _release_held(self, now_s):
        if self._resumed_s is None:
            return []
        confirmed = self.distribution.confirmed_s >= self._resumed_s
        result = self.ingress.release_held(now_s, confirmed)
        if now_s >= self.ingress.held_until_s:
            self._resumed_s = None
        return result

    def _start(self, event):
        return self.distribution.start(event)

    def _tick(self, event):
        self.routing.drop_removed_vms()
        result = self.distribution.tick(event.now_s)
        return result + self._release_held(event.now_s)

    def _fire_timer(self, event):
        if event.kind == work.WORK_TIMER:
            return self.work.handle_timeout(event)
        if event.kind == QUERY_TIMER:
            return self.outcome_queries.finish(event.subject, event.now_s)
        return self.ingress.fire_timer(event)

    def _drain(self, event):
        if self.distribution.draining:
            return []
        self.distribution.draining = True
        peers = self.membership.list_peers(event.now_s, True)
        peers += self.membership.list_peers(event.now_s, False)
        chosen = self.distribution.random.sample(peers, min(8, len(peers)))
        view = self.distribution.make_view(event.now_s)
        result = [effects.SendView(item, view, effects.COMPARE) for item in chosen]
        return [effects.ReportChange("draining", {}), *result]

    def _answer_comparison(self, event):
        result = self.distribution.handle_view(event.view, event.now_s)
        view = self.distribution.make_view(event.now_s)
        return [effects.AnswerView(event.exchange_id, view), *result]

    def _handle_peer_answer(self, event):
        result = self.distribution.handle_answer(event)
        return result + self._release_held(event.now_s)

    def _handle_version_hint(self, event):
        return self.distribution.pull_if_newer(
            CONFIG, event.address, event.version, event.now_s
        )

    def _handle_finding(self, event):
        if event.subject in self.work.jobs:
            return self.work.handle_finding(event)
        return self.outcome_queries.handle_finding(event)

    def is_idle(self):
        """Return whether nothing is in flight, so that the process may exit."""
        parts = (self.ingress, self.outcome_queries, self.work)
        return all(part.is_idle() for part in parts)
