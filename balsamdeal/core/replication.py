"""Replication of the configuration to a node, from the source or from its peers.

A version is large and links are narrow, so only a few nodes of each failure domain read
whole versions from the source. Each node ranks the nodes of its failure domain by the
bandwidth of their links. The first two are watchers: they watch the source. The others
form layers below them. Each keeps a long poll open to two nodes of the layer above, its
parents, and receives a delta as soon as one of them has a newer version.

A node that fails to answer is left out of the ranking until it answers again. One that
has lost contact with the source is left out for a while. A node that finds fewer than
two nodes ahead of it in the ranking watches the source. So does a node that has had no
good answer of late, until it receives one: the next nodes in rank may have failed too.

Nodes whose data about the others differ rank them differently. That is harmless: a
node that nobody polls, or two more watchers, only cost some bytes.
"""

import math
from collections import deque
from dataclasses import replace

from balsamdeal.core import effects, replication_messages
from balsamdeal.core.delays import DelayEstimator
from balsamdeal.core.membership import compute_score
from balsamdeal.core.sources import Sources
from balsamdeal.core.versions import Versions
from balsamdeal.documents import CONFIG, NO_VERSION
from balsamdeal.errors import ContentError, DocumentError

# Number of parents of each node, and of watchers in each failure domain.
PARENT_COUNT = 2
# Size of each layer in relation to the one above.
LAYER_GROWTH = 8
# How long a node may hold a poll while it has nothing newer. A silent connection or
# node is noticed after this time.
POLL_WAIT_S = 1.0
# How long the source may hold a watch while it has nothing newer.
WATCH_WAIT_S = 0.5
# A watch that is unanswered for this much longer than its wait is overdue; a version
# over a narrow link takes as long. The nodes that poll this one then read the source
# themselves. Even with that read, a lost path to the source delays a version by less
# than the time that a version may take to arrive.
OVERDUE_MARGIN_S = 0.7
# A watcher without an answer of the source for longer has lost it. The bound covers the
# pause after a new version and the read of a whole one over a narrow link. Each layer
# below learns of the contact up to one poll later.
MAX_SOURCE_AGE_S = 2.0
# Number of reads of the source that may overlap while its answers are late.
MAX_OPEN_READS = 4
# A poll that is unanswered for this much longer than its wait is late, unless the
# answers of other nodes take longer at present. Other nodes are polled then as well.
LATE_MARGIN_S = 0.7
# The same if one node has been slow, as its link was taken by a whole version.
BUSY_LINK_MARGIN_S = 1.2
# How long the delays of a node's answers tell what is usual: two polls.
USUAL_DELAY_VALID_S = 2.5
# How long a good answer counts: one poll, and room for a full link.
ANSWER_VALID_S = 1.6
# A node that failed to answer is polled again after this pause, doubled with each
# failure up to the maximum; one such node at a time.
RETRY_PAUSE_S = 0.5
MAX_RETRY_PAUSE_S = 8.0
# How long a node that has lost the source is left out of the ranking.
LOST_SOURCE_PAUSE_S = 3.0
# Parents that have lost the source are polled again only after fewer polls of any node
# within a second.
MAX_POLLS_BEFORE_RETRY = 4
# After up to this many bad answers in a row, other nodes are polled at once instead;
# each further one adds a pause before that.
FREE_REPLACEMENTS = 2
REPLACEMENT_PAUSE_S = 0.3
# A watcher polls a random node this often to exchange link bandwidths, so that the
# rankings of all nodes converge.
LINK_EXCHANGE_INTERVAL_S = 5.0
# Longest pauses after a failed read of the source: before the first configuration is in
# force, and later.
MAX_START_BACKOFF_S = 0.8
MAX_BACKOFF_S = 1.5
# Pause after a read of the source that was to bring a newer version and brought none.
FRUITLESS_READ_PAUSE_S = 2.0
# A node that learns from a peer that it is behind waits for this long before it reads
# the source: another peer may remember its base or have a wider link, and send a delta.
DELTA_GRACE_S = 0.3
# Pause between reads after a new version, so that a burst of versions takes few reads.
NEW_VERSION_PAUSE_S = 0.4
# A delta is sent only if sending it to all polling nodes would take less than this on
# the own link. Otherwise they read the source, each over its own link.
MAX_DELTA_SEND_S = 0.5
# Number of links in each message: those with the highest bandwidth known.
MAX_SENT_LINKS = 4


class ConfigReplication:
    """State of the replication of the configuration to this node; changed in place.

    :param own_node: the address of this node as other nodes reach it.
    :param link_mbps: the own link in Mbit/s, or None if it is not known.
    :param random: the seeded generator of the reducer.
    :param apply: puts a ``Document`` in force at a time; raises ``ContentError`` if it
        can't.
    """

    def __init__(self, own_node, link_mbps, random, apply):
        self.own_node = own_node
        self.versions = Versions()
        self.sources = Sources(
            random,
            0,
            WATCH_WAIT_S,
            MAX_START_BACKOFF_S,
            NEW_VERSION_PAUSE_S,
            MAX_OPEN_READS,
        )
        self._link_mbps = link_mbps
        self._apply = apply
        self._random = random
        # The failure domain: its nodes, their links in Mbit/s, and the nodes that sent
        # the bandwidth of their own link themselves.
        self._members = frozenset({own_node})
        self._links = {own_node: link_mbps or 0.0}
        self._unknown_mbps = self._links[own_node]
        self._self_reported = {own_node}
        self._ranking = [own_node]
        # The latest polls of any node, and how long answers take: of all and of each.
        self._poll_times_s = deque(maxlen=MAX_POLLS_BEFORE_RETRY)
        self._poll_delays = DelayEstimator()
        self._node_delays = {}
        # By node address: the time and request of the open poll and whether it is late,
        # when the last good answer came, the failures in a row, until when the node is
        # left out.
        self._pending_polls = {}
        self._late_polls = set()
        self._good_answers_s = {}
        self._failure_counts = {}
        self._skipped_until_s = {}
        # Bad answers in a row, of whichever nodes, delay the polls of replacements.
        self._bad_answer_count = 0
        self._next_replacement_s = 0.0
        self._next_retry_s = 0.0
        self._next_lost_retry_s = 0.0
        self._next_link_exchange_s = 0.0
        # When a node last answered without a source age, as it has lost the source.
        self._loss_reported_s = -math.inf
        # Polls of other nodes by exchange id: pairs of base and latest answer time.
        self._held_polls = {}
        # Set by an answer with ``is_behind``: a newer version exists, but no delta came
        # with it. Cleared by a current answer of the source or by a delta.
        self._is_behind = False
        self._next_whole_read_s = 0.0
        self._next_behind_poll_s = 0.0

    # Ranking and parents

    def update_members(self, event):
        """Set the nodes of the own failure domain, and drop the state of others."""
        self._members = event.addresses | {self.own_node}
        for known in (
            self._links,
            self._skipped_until_s,
            self._failure_counts,
            self._good_answers_s,
            self._pending_polls,
            self._node_delays,
        ):
            for address in known.keys() - self._members:
                del known[address]
        self._self_reported &= self._members
        self._late_polls &= self._members
        self._rank()

    def _rank(self):
        # If an unknown link counted as zero, each node would rank itself first, poll
        # nobody, and never learn of another link.
        self._unknown_mbps = min(self._links.values())
        self._ranking = sorted(self._members, key=self._compute_rank, reverse=True)

    def _compute_rank(self, address):
        """Return the sort key of a node: the bandwidth of its link, then its score."""
        mbps = self._links.get(address, self._unknown_mbps)
        # Rounded, so that links that differ by less than a half mostly rank alike.
        width = round(math.log2(mbps)) if mbps > 0 else -math.inf
        return width, compute_score(CONFIG, address)

    def _merge_links(self, links, sender=None):
        """Merge received links; a node's own report overrides those of other nodes.

        :param links: pairs of node address and Mbit/s.
        :param sender: the node that sent them, or None if it is not known.
        """
        if sender in self._members:
            self._self_reported.add(sender)
        known = {
            item: mbps
            for item, mbps in links
            if item in self._members
            and (item == sender or item not in self._self_reported)
        }
        if any(self._links.get(item) != mbps for item, mbps in known.items()):
            self._links.update(known)
            self._rank()

    def _select_links(self):
        """Return the links to send: those with the highest bandwidth, and the own."""
        widest = self._ranking[:MAX_SENT_LINKS]
        sent = [(item, self._links[item]) for item in widest if self._links.get(item)]
        own = (self.own_node, self._links[self.own_node])
        return tuple(sent if own in sent else [*sent, own])

    def list_ranking(self):
        """Return the nodes of the failure domain in the order of their rank."""
        return list(self._ranking)

    def _list_available(self, now_s):
        """Return the ranking without the nodes that are left out."""
        if not self._skipped_until_s and not self._failure_counts:
            return self._ranking
        return [
            address
            for address in self._ranking
            if address == self.own_node
            or address not in self._failure_counts
            and now_s >= self._skipped_until_s.get(address, 0.0)
        ]

    def list_parents(self, now_s):
        """Return the parents that this node polls; none if it is a watcher.

        :param now_s: the loop's time in seconds.
        """
        return self._find_position(now_s)[1]

    def _list_polled(self, now_s):
        """Return the nodes to poll: the parents, or for a watcher the other watcher.

        Each watcher then holds every version that the other passes on, and so knows the
        base of any node below.
        """
        first = self._list_available(now_s)[:PARENT_COUNT]
        parents = self.list_parents(now_s)
        return parents or [item for item in first if item != self.own_node]

    def _find_position(self, now_s):
        """Return the own layer, 0 for watchers, and the addresses of the parents."""
        return self._find_place(self._list_available(now_s))

    def _find_place(self, present):
        """Return the own layer and the parents among nodes in order of their rank."""
        index = present.index(self.own_node)
        layer, above, width = 0, [], PARENT_COUNT
        first = 0
        while index >= first + width:
            layer, above = layer + 1, present[first : first + width]
            first, width = first + width, width * LAYER_GROWTH
        if not layer:
            return 0, []
        start = (index - first) // LAYER_GROWTH
        parents = [above[(start + step) % len(above)] for step in range(PARENT_COUNT)]
        return layer, parents

    # Polls and reads

    def tick(self, event):
        """Return the reads, polls and answers that are due."""
        now_s = event.now_s
        self._skip_late_nodes(now_s)
        layer, parents = self._find_position(now_s)
        is_watcher = not parents or self._lacks_good_answers(now_s)
        result = self._read_source(is_watcher, now_s)
        result += self._poll_idle(self._list_polled(now_s), now_s)
        result += self._retry_failed_node(now_s)
        result += self._retry_lost_parent(now_s)
        if not parents:
            result += self._exchange_links(now_s)
        return result + self._answer_due(layer, now_s)

    def _lacks_good_answers(self, now_s):
        """Return whether no good answer came of late.

        While answers of nodes are slow, each counts for longer.
        """
        excess_s = max(0.0, self._poll_delays.get_bound_s() - LATE_MARGIN_S)
        valid_s = ANSWER_VALID_S + excess_s
        return not any(now_s < at_s + valid_s for at_s in self._good_answers_s.values())

    def _get_margin_s(self, now_s):
        """Return how much longer than its wait a poll may take before it is late.

        The node with the fastest answers of late tells what is usual: if all are slow,
        they are not lost, but a few slow ones are no reason to wait for them for more
        than a version may take on a link.
        """
        bounds_s = [
            delays.get_bound_s()
            for delays in self._node_delays.values()
            if now_s < delays.recorded_s + USUAL_DELAY_VALID_S
        ]
        slowest_s = min(BUSY_LINK_MARGIN_S, self._poll_delays.get_bound_s())
        return max(LATE_MARGIN_S, slowest_s, min(bounds_s, default=0.0))

    def _is_slower_than_others(self, address, polled_s, due_s, now_s):
        """Return whether a late answer is slow by comparison with those of others.

        :param polled_s: when its poll began. Unless the answer before it was late, too,
            earlier answers of others do not count, as all nodes may have become slow
            since.
        :param due_s: when it was due.
        :param now_s: when it came.
        """
        since_s = polled_s
        if self._failure_counts.get(address, 0) > 1:
            since_s = now_s - USUAL_DELAY_VALID_S
        return any(
            now_s - due_s > max(LATE_MARGIN_S, delays.get_bound_s())
            for other, delays in self._node_delays.items()
            if other != address and delays.recorded_s >= since_s
        )

    def _poll_idle(self, parents, now_s):
        """Poll the given nodes that have no open poll."""
        if not self._may_poll(now_s):
            return []
        may_replace = now_s >= self._next_replacement_s
        return [
            self._poll(address, now_s, self._choose_wait_s(now_s))
            for address in parents
            if address not in self._pending_polls
            and (may_replace or address in self._good_answers_s)
        ]

    def _may_poll(self, now_s):
        """Return whether another node may have what this one needs.

        Whole versions come from the source only. While its reads fail, a node that is
        behind polls the others at intervals: they may have a delta by then.
        """
        if self.versions.document is None:
            return False
        if not self._is_behind:
            return True
        return self.sources.is_failing(CONFIG) and now_s >= self._next_behind_poll_s

    def _choose_wait_s(self, now_s):
        """Return the wait of a new poll: half as long if another poll has just begun.

        The answers of two parents then alternate, and the first one that falls silent
        is noticed sooner.
        """
        is_recent = any(
            now_s < at_s + POLL_WAIT_S / 4 for at_s, _ in self._pending_polls.values()
        )
        return POLL_WAIT_S / 2 if is_recent else POLL_WAIT_S

    def _retry_failed_node(self, now_s):
        """Poll the failed node that is due first; it is left out until it answers."""
        if now_s < self._next_retry_s or not self._may_poll(now_s):
            return []
        due = [
            item
            for item in self._failure_counts
            if now_s >= self._skipped_until_s[item] and item not in self._pending_polls
        ]
        due.sort(key=self._skipped_until_s.get)
        if not due:
            return []
        self._next_retry_s = now_s + RETRY_PAUSE_S
        return [self._poll(due[0], now_s, 0.0)]

    def _retry_lost_parent(self, now_s):
        """Poll a parent that is left out as it has lost the source.

        Its next answer of the source may bring a newer version before the nodes that
        replace it get one.
        """
        if now_s < self._next_lost_retry_s or not self._may_poll(now_s):
            return []
        times = self._poll_times_s
        if len(times) == times.maxlen and now_s < times[0] + 1.0:
            return []
        lost = [
            item
            for item in self._find_place(self._ranking)[1]
            if item in self._skipped_until_s
            and item not in self._failure_counts
            and item not in self._pending_polls
        ]
        if not lost:
            return []
        self._next_lost_retry_s = now_s + RETRY_PAUSE_S / 2
        return [self._poll(self._random.choice(lost), now_s, 0.0)]

    def _skip_late_nodes(self, now_s):
        """Leave out the nodes whose answers are late; these may still arrive."""
        for address, (polled_s, request) in self._pending_polls.items():
            margin_s = self._get_margin_s(now_s)
            is_late = now_s > polled_s + request.wait_s + margin_s
            if is_late and address not in self._late_polls:
                self._late_polls.add(address)
                self._skip_failed_node(address, now_s)

    def _exchange_links(self, now_s):
        """Poll a random node at intervals, as nodes that only watch get no links."""
        if now_s < self._next_link_exchange_s or self.versions.document is None:
            return []
        pause_s = LINK_EXCHANGE_INTERVAL_S * self._random.uniform(0.5, 1.0)
        self._next_link_exchange_s = now_s + pause_s
        present = [
            address
            for address in self._list_available(now_s)
            if address != self.own_node and address not in self._pending_polls
        ]
        if not present:
            return []
        return [self._poll(self._random.choice(present), now_s, 0.0)]

    def _read_source(self, is_watcher, now_s):
        held = self.versions.version
        is_reader = is_watcher or self._is_behind or held == NO_VERSION
        # Overlapping reads may transfer a version twice, so only one node has them.
        may_overlap = self._list_available(now_s)[0] == self.own_node
        effect = self.sources.begin_read(CONFIG, held, is_reader, now_s, may_overlap)
        if effect is None:
            return []
        # No need to wait when a newer version is known to exist.
        return [replace(effect, wait_s=0.0) if self._is_behind else effect]

    def _poll(self, address, now_s, wait_s):
        request = replication_messages.PollRequest(
            self._get_poll_base(), wait_s, self._select_links()
        )
        self._pending_polls[address] = (now_s, request)
        self._poll_times_s.append(now_s)
        return replication_messages.SendPoll(address, request)

    def _get_poll_base(self):
        """Return the version than which polls ask for a newer one.

        It is the newest rejected one if that is newer than the one in force: other
        nodes may hold it, and would send it again.
        """
        return max(self.versions.version, *self.versions.rejected, NO_VERSION)

    def _answer_due(self, layer, now_s):
        """Answer the held polls whose time is over, or all if the source is lost."""
        is_lost = _is_too_old(self._get_source_age_s(layer, now_s), layer)
        due = [
            exchange_id
            for exchange_id, (_, until_s) in self._held_polls.items()
            if is_lost or now_s >= until_s
        ]
        return [self._answer(exchange_id, now_s) for exchange_id in due]

    def _get_source_age_s(self, layer, now_s):
        """Return the time since the source last confirmed the version in force.

        None if that is not known, or if the source seems lost: the nodes that poll this
        one need not wait then until the age exceeds its bound.
        """
        sources = self.sources
        age_s = sources.get_contact_age_s(now_s)
        if layer and not self._lacks_good_answers(now_s):
            return age_s
        is_failing = sources.is_failing(CONFIG)
        is_overdue = sources.is_overdue(CONFIG, OVERDUE_MARGIN_S, now_s)
        # A peer has reported a lost source since the last known contact; whether it is
        # lost here too is unknown until this node has read it.
        is_lost = layer and age_s is not None and now_s - age_s < self._loss_reported_s
        if age_s is not None:
            # While the source is slow, its answers come at longer intervals.
            age_s = max(0.0, age_s - sources.get_excess_delay_s())
        if is_failing or is_overdue or is_lost:
            return None
        return age_s

    # Polls of other nodes

    def handle_poll(self, event):
        """Answer a poll at once if a newer version is in force, else hold it.

        A held poll is answered with a newer version, when its time is over, or when the
        source is lost.
        """
        request = event.request
        self._merge_links(request.links)
        until_s = event.now_s + request.wait_s
        self._held_polls[event.exchange_id] = (request.base, until_s)
        layer = self._find_position(event.now_s)[0]
        age_s = self._get_source_age_s(layer, event.now_s)
        if self._has_newer_than(request.base) or _is_too_old(age_s, layer):
            return [self._answer(event.exchange_id, event.now_s)]
        return []

    def drop_poll(self, exchange_id):
        """Drop the held poll of a node that closed the connection."""
        self._held_polls.pop(exchange_id, None)

    def _has_newer_than(self, base):
        # By revision only: nodes of two releases may encode a version differently.
        return self.versions.version.revision > (base or NO_VERSION).revision

    def _answer(self, exchange_id, now_s, deltas=None):
        base, _ = self._held_polls.pop(exchange_id)
        delta = None
        is_behind = self._has_newer_than(base)
        if is_behind:
            deltas = {} if deltas is None else deltas
            if base not in deltas:
                deltas[base] = self._make_delta(base)
            delta = deltas[base]
        answer = replication_messages.PollResponse(
            delta,
            is_behind and delta is None,
            self._get_source_age_s(self._find_position(now_s)[0], now_s),
            self._select_links(),
        )
        return replication_messages.SendPollResponse(exchange_id, answer)

    def _make_delta(self, base):
        """Return the delta from a base, or None if the source is to be read instead.

        That is so if the base isn't remembered or the delta is too large for the link.
        """
        if self.versions.find(base) is None:
            return None
        delta = self.versions.make_delta(base)
        if self._link_mbps is not None:
            size = sum(len(name) + len(text) for name, text in delta.changed.items())
            max_children = PARENT_COUNT * LAYER_GROWTH
            if size * 8 * max_children > self._link_mbps * 1e6 * MAX_DELTA_SEND_S:
                return None
        return delta

    # Answers of other nodes and of the source

    def handle_poll_response(self, event):
        """Handle a peer's answer: apply its delta, or plan a read if there is none."""
        address, answer, now_s = event.address, event.response, event.now_s
        if address not in self._pending_polls:
            return []  # the node has left the failure domain since
        polled_s, request = self._pending_polls.pop(address)
        due_s = polled_s + request.wait_s
        self._merge_links(answer.links, address)
        was_skipped = polled_s < self._skipped_until_s.get(address, -math.inf)
        has_news = answer.delta is not None or answer.is_behind
        if not has_news and now_s >= due_s:
            self._record_poll_delay(address, now_s, now_s - due_s)
        is_slow = address in self._late_polls and self._is_slower_than_others(
            address, polled_s, due_s, now_s
        )
        self._late_polls.discard(address)
        if not is_slow:
            self._failure_counts.pop(address, None)
        layer = self._find_position(now_s)[0]
        # An early answer without a newer version means that the source is lost: the
        # peer may place itself in a higher layer, whose bound on the age is lower.
        is_early = now_s - polled_s < request.wait_s / 2
        is_early = is_early and not has_news
        if is_early or _is_too_old(answer.source_age_s, max(0, layer - 1)):
            self._skipped_until_s[address] = now_s + LOST_SOURCE_PAUSE_S
            if answer.source_age_s is None:
                self._loss_reported_s = now_s
            if not was_skipped:
                self._record_bad_answer(address, now_s)
        elif not is_slow:
            self._skipped_until_s.pop(address, None)
            self._good_answers_s[address] = now_s
            self._bad_answer_count = max(0, self._bad_answer_count - 1)
            self.sources.record_contact(now_s - answer.source_age_s)
        # Since the poll began, another answer may have brought the newer version.
        if answer.is_behind and request.base == self._get_poll_base():
            self._next_behind_poll_s = now_s + RETRY_PAUSE_S
            self._schedule_whole_read(now_s)
        delta = answer.delta
        if delta is None or not self.versions.is_acceptable(delta.version):
            return self._poll_again(address, now_s)
        try:
            document = self.versions.merge(delta)
        except DocumentError as error:
            self._schedule_whole_read(now_s)
            fields = {"node": address, "reason": str(error)}
            return [effects.ReportChange("bad difference", fields)]
        self._is_behind = False
        result = self._apply_if_newer(document, address, polled_s, now_s)
        if document.version in self.versions.rejected:
            # As the source has it, this node may be able to read it.
            self._schedule_whole_read(now_s)
        return result + self._poll_again(address, now_s)

    def _record_poll_delay(self, address, now_s, delay_s):
        """Record how late an answer came after the whole wait of its poll."""
        self._poll_delays.record(delay_s)
        delays = self._node_delays.setdefault(address, DelayEstimator())
        delays.record(delay_s, now_s)

    def _poll_again(self, address, now_s):
        """Poll the node again at once, so that no version waits for the next tick."""
        if address not in self._list_polled(now_s):
            return []
        return self._poll_idle([address], now_s)

    def _schedule_whole_read(self, now_s):
        """Mark this node as behind; plan a source read after ``DELTA_GRACE_S``."""
        if not self._is_behind:
            self._is_behind = True
            due_s = max(now_s + DELTA_GRACE_S, self._next_whole_read_s)
            self.sources.schedule_read(CONFIG, due_s)

    def handle_failure(self, event):
        """Leave out a node that gave no answer, and poll others instead."""
        address = event.address
        if self._pending_polls.pop(address, None) is None:
            return []  # the node has left the failure domain since
        if address in self._late_polls:
            self._late_polls.discard(address)
        else:
            self._skip_failed_node(address, event.now_s)
        return self._poll_idle(self._list_polled(event.now_s), event.now_s)

    def _skip_failed_node(self, address, now_s):
        count = self._failure_counts.get(address, 0)
        self._failure_counts[address] = count + 1
        pause_s = min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * 2**count)
        self._skipped_until_s[address] = now_s + pause_s
        if not count:
            self._record_bad_answer(address, now_s)

    def _record_bad_answer(self, address, now_s):
        """Have other nodes polled instead, but not the whole domain at once."""
        self._good_answers_s.pop(address, None)
        self._bad_answer_count += 1
        pause_s = REPLACEMENT_PAUSE_S * max(
            0, self._bad_answer_count - FREE_REPLACEMENTS
        )
        self._next_replacement_s = now_s + min(pause_s, LOST_SOURCE_PAUSE_S / 2)

    def handle_source_answer(self, event):
        """Put the version of the source in force if it is newer."""
        # Compared with the version at the beginning of the read: other nodes may have
        # sent newer ones since.
        read = self.sources.get_open_read(CONFIG, event.read_id)
        current, result = self.sources.handle_answer(event, read.base)
        if not current:
            return result
        if self._is_behind and event.document is None:
            # The source holds no newer valid version; other nodes may have one.
            self._next_whole_read_s = event.now_s + FRUITLESS_READ_PAUSE_S
        self._is_behind = False
        if event.document is not None:
            result += self._apply_if_newer(
                event.document, "source", read.begun_s, event.now_s
            )
        return result

    def handle_source_failure(self, event):
        """Plan the next read."""
        return self.sources.handle_failure(event, False)

    # Versions

    def _apply_if_newer(self, document, origin, asked_s, now_s):
        """Apply a document as a whole if it is newer than the one in force.

        An invalid one is remembered as rejected, and not applied at all.

        :param origin: the address of the node that sent it, or ``"source"``.
        :param asked_s: when the poll or read began that brought it.
        """
        versions = self.versions
        if not versions.is_acceptable(document.version):
            return []
        before = versions.document
        try:
            self._apply(document, now_s)
        except ContentError as error:
            versions.reject(document.version, str(error))
            fields = {
                "version": document.version.revision,
                "origin": origin,
                "reason": str(error),
            }
            return [effects.ReportChange("configuration rejected", fields)]
        versions.record_applied(document, now_s)
        self.sources.set_max_backoff(MAX_BACKOFF_S)
        applied = replication_messages.ConfigurationApplied(
            document.version.revision,
            None if before is None else before.version.revision,
            len(document.parts),
            origin,
            now_s - asked_s,
            tuple(self.list_parents(now_s)),
        )
        deltas = {}
        waiting = [
            exchange_id
            for exchange_id, (base, _) in self._held_polls.items()
            if self._has_newer_than(base)
        ]
        answers = [self._answer(item, now_s, deltas) for item in waiting]
        return [applied, *answers]


def _is_too_old(age_s, layer):
    """Return whether a source age means that a node of a layer has lost the source.

    None counts as too old.
    """
    return age_s is None or age_s > MAX_SOURCE_AGE_S + layer * POLL_WAIT_S
