"""Distribution of versions: from the source to a few watchers, then peer to peer.

Two watchers in each failure domain watch the source. A node that applies a newer
version announces it to its children in the failure domain's relay tree and to one
random peer in another failure domain. Each node also exchanges views with a peer
periodically (anti-entropy), which repairs missed announcements. A version is applied
atomically and never replaced by an older one. This module does no I/O: see ``events``
and ``effects``.
"""

from dataclasses import dataclass, field
from random import Random

from balsamdeal.core import effects, events
from balsamdeal.core.announcements import Announcements
from balsamdeal.core.membership import REFUSED
from balsamdeal.core.sources import Sources
from balsamdeal.core.versions import Versions
from balsamdeal.documents import CHANNELS, CONFIG, VMS
from balsamdeal.errors import ContentError, DocumentError
from balsamdeal.snapshots import read_vms, render_snapshot

# With DIRECT each node reads the source itself. With TREE versions are announced along
# the relay tree, with GOSSIP to random peers.
DIRECT = "direct"
TREE = "tree"
GOSSIP = "gossip"
VARIANTS = (DIRECT, TREE, GOSSIP)

COMPARE_INTERVAL_S = 2.5
START_COMPARE_INTERVAL_S = 0.25
START_PEERS = 3
START_TIMEOUT_S = 2.0
PULL_TIMEOUT_S = 2.0
CROSS_DOMAIN_PROBABILITY = 0.25


@dataclass(slots=True)
class ChannelState(Versions):
    """One channel: its versions, those that peers offer, and the pull in flight."""

    offers: dict = field(default_factory=dict)
    pull_address: str = ""
    pull_deadline_s: float = 0.0
    source: object = None


class Distribution:
    """Distribution state; changed in place, as copying its tables costs too much.

    ``confirmed_s`` is when the source or a peer last confirmed that the versions in
    force are the newest it knows, by the loop's time in seconds. ``snapshot`` is the
    configuration in force, or None.

    :param membership: the ``Membership`` that VM lists are applied to.
    :param variant: one of VARIANTS.
    :param fleet_size: the expected number of nodes, over which first reads spread.
    :param seed: the seed of the random generator.
    :param compare_interval_s: the mean time between comparisons, in seconds.
    """

    def __init__(
        self,
        membership,
        variant,
        fleet_size,
        seed,
        compare_interval_s=COMPARE_INTERVAL_S,
    ):
        self.membership = membership
        self.variant = variant
        self.compare_interval_s = compare_interval_s
        self.random = Random(seed)
        self.sources = Sources(self.random, fleet_size)
        self.channels = {
            channel: ChannelState(source=self.sources.states[channel])
            for channel in CHANNELS
        }
        self.snapshot = None
        self.started_s = 0.0
        self.started_wall_s = 0.0
        self.starting = True
        self.draining = False
        self.confirmed_s = 0.0
        self.start_tried_peers = set()
        self.counters = {}
        self._next_compare_s = 0.0
        self.announcements = Announcements(membership, self.random, variant == TREE)

    def count(self, name, amount=1):
        """Increase a named counter."""
        self.counters[name] = self.counters.get(name, 0) + amount

    def get_wall_s(self, now_s):
        """Convert a time of the loop's clock to seconds since the epoch."""
        return self.started_wall_s + now_s - self.started_s

    def make_view(self, now_s):
        """Return the view that this node sends to its peers."""
        own = self.membership.own
        age_s = self.sources.get_contact_age_s(now_s)
        return events.View(
            own.name,
            own.failure_domain,
            own.peer_address,
            self.started_wall_s,
            {name: state.version for name, state in self.channels.items()},
            None if age_s is None else round(age_s, 2),
            self.starting,
            self.draining,
        )

    # Start

    def start(self, event):
        """Compare views with some seeds now; schedule source reads at random times."""
        self.started_s = event.now_s
        self.started_wall_s = event.wall_s
        self.sources.spread_start(event.now_s)
        return self._compare_with_seeds(event.now_s)

    def _compare_with_seeds(self, now_s):
        self._next_compare_s = now_s + START_COMPARE_INTERVAL_S
        seeds = self.membership.seeds or tuple(
            vm.peer_address
            for vm in self.membership.vms.values()
            if vm.name != self.membership.own.name
        )
        chosen = self.random.sample(seeds, min(START_PEERS, len(seeds)))
        view = self.make_view(now_s)
        return [effects.SendView(item, view, effects.COMPARE) for item in chosen]

    def _finish_start(self, now_s):
        """Begin to serve if this node has caught up with the peers it contacted.

        After START_TIMEOUT_S it serves in any case, if it holds a configuration.
        """
        if not self.starting or self.snapshot is None:
            return []
        expected = min(START_PEERS, len(self.membership.seeds))
        peers_tried = len(self.start_tried_peers) >= expected
        has_vm_list = self.channels[VMS].document is not None
        complete = peers_tried and has_vm_list and not self._is_behind()
        if not complete and now_s - self.started_s < START_TIMEOUT_S:
            return []
        self.starting = False
        self._next_compare_s = now_s + self.random.random() * self.compare_interval_s
        return [
            effects.ReportChange(
                "serving", {"revision": self.channels[CONFIG].version.revision}
            )
        ]

    def _is_behind(self):
        """Return whether a peer offers a newer version than the one in force."""
        return any(
            offer > state.version
            for state in self.channels.values()
            for offer in state.offers.values()
        )

    # Time

    def tick(self, now_s):
        """Start due source reads, comparisons and announcement retries.

        Also retries overdue pulls at other peers, and probes VMs of this node's
        service that refuse connections.
        """
        result = []
        for channel in CHANNELS:
            result += self._read_source_if_due(channel, now_s)
            state = self.channels[channel]
            if state.pull_address and now_s > state.pull_deadline_s:
                result += self._retry_pull_elsewhere(channel, state.pull_address, now_s)
        if now_s >= self._next_compare_s:
            result += self._compare(now_s)
        due = self.announcements.list_due(now_s)
        result += self._send_announcements(due, now_s)
        result += self._finish_start(now_s)
        self.membership.expire_removed_vms(now_s)
        view = self.make_view(now_s)
        result += [
            effects.SendView(address, view, effects.COMPARE)
            for address in self.membership.list_refusal_probes(now_s)
        ]
        return result

    def resume(self, now_s):
        """Compare views with several peers at once, after the process was paused."""
        self.confirmed_s = min(self.confirmed_s, now_s - self.compare_interval_s)
        addresses = self.membership.list_peers(now_s, True)
        addresses += self.membership.list_peers(now_s, False)
        chosen = self.random.sample(addresses, min(START_PEERS, len(addresses)))
        view = self.make_view(now_s)
        return [effects.SendView(item, view, effects.COMPARE) for item in chosen]

    def _compare(self, now_s):
        if self.starting:
            return self._compare_with_seeds(now_s)
        self._next_compare_s = now_s + self.compare_interval_s * self.random.uniform(
            0.5, 1.5
        )
        if self.variant == DIRECT:
            return []
        address = self._choose_comparison_peer(now_s)
        if address is None:
            return self._compare_with_seeds(now_s) if not self.membership.vms else []
        return [effects.SendView(address, self.make_view(now_s), effects.COMPARE)]

    def _choose_comparison_peer(self, now_s):
        own_domain = self.random.random() >= CROSS_DOMAIN_PROBABILITY
        peers = self.membership.list_peers(now_s, own_domain)
        peers = peers or self.membership.list_peers(now_s, not own_domain)
        if not peers:
            return None
        ranking = self.membership.rank_domain(CONFIG)[:2]
        if own_domain and self.random.random() < 0.5:
            # Contacting watchers often detects a dead one early.
            watchers = [vm.peer_address for vm in ranking if vm.peer_address in peers]
            peers = watchers or peers
        return self.random.choice(peers)

    # Source

    def _reads_source(self, channel, now_s):
        if self.variant == DIRECT or self.starting:
            return True
        return self.membership.is_watcher(channel, now_s)

    def _read_source_if_due(self, channel, now_s):
        state = self.channels[channel]
        if self.starting and state.document is not None:
            return []
        is_reader = self._reads_source(channel, now_s)
        effect = self.sources.begin_read(channel, state.version, is_reader, now_s)
        if effect is None:
            return []
        self.count("source_reads")
        return [effect]

    def handle_source_answer(self, event):
        """Apply a document from the source if it is newer than the one in force."""
        version = self.channels[event.channel].version
        current, result = self.sources.handle_answer(event, version)
        if not current:
            self.count("source_stale_answers")
            return result
        self.confirmed_s = event.now_s
        if event.document is not None:
            result += self._apply_if_newer(event.channel, event.document, event.now_s)
        return result

    def handle_source_failure(self, event):
        """Schedule another read, with full jitter and a bounded delay."""
        self.count("source_failures")
        return self.sources.handle_failure(event, self.starting)

    # Peers

    def handle_view(self, view, now_s):
        """Update the state of a peer from its view; pull newer versions it holds."""
        membership = self.membership
        membership.clear_suspicion(view.address)
        membership.record_draining(view.vm, view.draining, now_s)
        membership.record_revision(view.vm, view.versions[VMS].revision, now_s)
        if view.source_age_s is not None:
            self.sources.record_contact(now_s - view.source_age_s)
        result = []
        for channel in CHANNELS:
            version = view.versions[channel]
            result += self.pull_if_newer(channel, view.address, version, now_s)
        return result

    def handle_answer(self, event):
        """Process the view with which a peer answered a comparison.

        If the peer holds nothing newer, this node's versions count as confirmed.
        """
        if self.starting:
            self.start_tried_peers.add(event.view.address)
        self.announcements.record_answer(event.view.address)
        result = self.handle_view(event.view, event.now_s)
        if all(
            event.view.versions[channel] <= state.version
            for channel, state in self.channels.items()
        ):
            self.confirmed_s = event.now_s
        return result + self._finish_start(event.now_s)

    def pull_if_newer(self, channel, address, version, now_s):
        """Pull a version that a peer holds if it is newer than the one in force."""
        state = self.channels[channel]
        if not state.is_acceptable(version):
            return []
        state.offers[address] = version
        return self._pull(channel, now_s)

    def _pull(self, channel, now_s):
        state = self.channels[channel]
        if state.pull_address or not state.offers:
            return []
        newest = max(state.offers.values())
        if newest <= state.version:
            state.offers.clear()
            return []
        holders = [item for item, version in state.offers.items() if version == newest]
        state.pull_address = self.random.choice(holders)
        state.pull_deadline_s = now_s + PULL_TIMEOUT_S
        base = None if state.document is None else state.version
        self.count("pulls")
        return [effects.PullDelta(state.pull_address, channel, base)]

    def handle_peer_failure(self, event):
        """Mark the peer as suspected.

        A failed pull is retried at another peer. A failed announcement is retried
        later; the first time it is also sent to the peer's children in the relay tree.
        """
        self.membership.suspect(event.address, event.now_s)
        if event.step == REFUSED:
            self.membership.record_refusal(event.address, event.now_s)
        self.count("peer_failures")
        if event.purpose in CHANNELS:
            return self._retry_pull_elsewhere(event.purpose, event.address, event.now_s)
        if self.starting:
            self.start_tried_peers.add(event.address)
            return self._finish_start(event.now_s)
        if event.purpose != effects.ANNOUNCE:
            return []
        children = self.announcements.record_failure(event.address, event.now_s)
        return self._send_announcements(children, event.now_s)

    def _retry_pull_elsewhere(self, channel, address, now_s):
        state = self.channels[channel]
        state.offers.pop(address, None)
        if state.pull_address != address:
            return []
        state.pull_address = ""
        return self._pull(channel, now_s)

    def handle_delta(self, event):
        """Apply a peer's delta if it yields a complete and newer version."""
        state = self.channels[event.channel]
        if state.pull_address == event.address:
            state.pull_address = ""
        state.offers.pop(event.address, None)
        if event.delta.version <= state.version:
            return self._pull(event.channel, event.now_s)
        try:
            document = state.merge(event.delta)
        except DocumentError:
            self.count("bad_deltas")
            return self._pull(event.channel, event.now_s)
        result = self._apply_if_newer(event.channel, document, event.now_s)
        result += self._pull(event.channel, event.now_s)
        if not self._is_behind():
            self.confirmed_s = event.now_s
        return result + self._finish_start(event.now_s)

    def answer_pull(self, channel, base):
        """Return the delta from ``base`` to the version in force, or None without one.

        If ``base`` is not in the history any more, the delta is the whole document.

        :param channel: the requested channel.
        :param base: the version in force at the requesting node, or None.
        """
        state = self.channels[channel]
        if state.document is None:
            return None
        return state.make_delta(base)

    # Versions

    def _apply_if_newer(self, channel, document, now_s):
        """Apply a document atomically if it is newer than the one in force."""
        state = self.channels[channel]
        version = document.version
        if not state.is_acceptable(version):
            return []
        try:
            self._load_document(channel, document, now_s)
        except ContentError as error:
            return self._reject(state, channel, version, error)
        state.record_applied(document, now_s)
        state.offers = {
            address: offer for address, offer in state.offers.items() if offer > version
        }
        self.count(f"applied_{channel}")
        fields = {
            "channel": channel,
            "revision": version.revision,
            "digest": version.digest,
        }
        result = [effects.ReportChange("applied", fields)]
        return result + self._announce(now_s)

    def _load_document(self, channel, document, now_s):
        if channel == CONFIG:
            held = self.channels[CONFIG].document
            known = None if held is None else (held, self.snapshot)
            self.snapshot = render_snapshot(document, known)
            return
        revision = document.version.revision
        self.membership.replace_vms(read_vms(document), revision, now_s)

    def _reject(self, state, channel, version, error):
        state.reject(version, str(error))
        self.count("rejected")
        fields = {
            "channel": channel,
            "revision": version.revision,
            "digest": version.digest,
            "reason": str(error),
        }
        return [effects.ReportChange("rejected", fields)]

    def _announce(self, now_s):
        if self.variant == DIRECT or self.starting:
            return []
        return self._send_announcements(self.announcements.begin(now_s), now_s)

    def _send_announcements(self, addresses, now_s):
        if not addresses:
            return []
        self.count("announcements", len(addresses))
        view = self.make_view(now_s)
        return [
            effects.SendView(address, view, effects.ANNOUNCE) for address in addresses
        ]
