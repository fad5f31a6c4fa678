"""How a node follows the configuration: from the source, or from nodes before it.

A version is large and links are narrow, so few nodes read it whole. The nodes of a
failure domain are ranked, those with wide links first. The first two watch the source.
The others form layers below them: each keeps a question waiting at two nodes of the
layer above, and gets the difference to a newer version as soon as one of them has it.
A node that fails to answer is passed over until it answers again, one that has not
heard from the source itself for a while; whoever finds fewer than two nodes before it
watches the source. So does, until somebody answers it well, a node whom all it asked
have failed: the next ones in rank may have failed as well.

Nodes with different views of the others rank them differently. That is harmless: a
node that serves nobody, or two more that watch, cost some bytes.
"""

import math
from dataclasses import replace

from balsamdeal.core import effects, news
from balsamdeal.core.membership import compute_score
from balsamdeal.core.sources import Sources
from balsamdeal.core.versions import Versions
from balsamdeal.documents import CONFIG, NO_VERSION
from balsamdeal.errors import ContentError, DocumentError

# Nodes of the layer above that each node asks, and nodes that watch the source.
PARENTS = 2
# Each layer has this many times the nodes of the one above.
GROWTH = 8
# How long a question waits for news. A silent connection or node is noticed after it.
QUESTION_WAIT_S = 1.0
# How long the source may take to answer a watch that has no news, and how much later
# the answer may come; a version over a narrow link takes as long. With a read by those
# who ask, a lost path costs less than a version's time.
WATCH_WAIT_S = 0.5
OVERDUE_S = 0.7
# A watching node whose last word of the source is older has lost it: a pause after
# news and the read of a whole version over a narrow link fit in. Each layer below hears
# up to one wait of a question later.
SOURCE_LOST_S = 2.0
# A good answer counts for this long: a wait, and room for a full link.
GOOD_ANSWER_S = 1.6
# A node that failed to answer is asked again after a pause, doubled with each failure
# up to the longest, one such node at a time. One that has lost the source is passed
# over.
FAILURE_PAUSE_S = 0.5
FAILURE_PAUSE_MAX_S = 8.0
LOST_SOURCE_PAUSE_S = 3.0
# Bad answers in a row that are made up for at once, and the pause for each further one.
FREE_TRIES = 2
TRY_PAUSE_S = 0.3
# A node that watches asks any other for links this often, so that views grow alike.
ACQUAINT_INTERVAL_S = 5.0
# Longest pauses after a failed read of the source, without any configuration and with.
START_BACKOFF_S = 0.8
BACKOFF_S = 1.5
# After a read of a whole version that brought none, the next one waits for this long.
BEHIND_PAUSE_S = 2.0
# A node that one node says is behind first lets the others send it the difference: they
# may remember its base, or have a wider link.
BEHIND_GRACE_S = 0.3
# After news the source is left alone for this long, so that a storm of versions becomes
# a few reads.
NEWS_PAUSE_S = 0.4
# A difference is passed on if sending it to all who ask takes less than this on the
# own link; others read the source, each over its own.
MAX_SEND_S = 0.5
# Links that each message tells of: those of the widest nodes known.
TOLD_LINKS = 4


class Following:
    """State of following the configuration; changed in place.

    :param own_node: the address of this node as other nodes reach it.
    :param link_mbps: the own link in Mbit/s, or None if it is not known.
    :param random: the seeded generator of the reducer.
    :param apply: puts a ``Document`` in force; raises ``ContentError`` if it is bad.
    """

    def __init__(self, own_node, link_mbps, random, apply):
        self.own_node = own_node
        self.versions = Versions()
        self.sources = Sources(random, 0, WATCH_WAIT_S, START_BACKOFF_S, NEWS_PAUSE_S)
        self._link_mbps = link_mbps
        self._apply = apply
        self._random = random
        # The failure domain: nodes, links in Mbit/s by node, who told of its own link.
        self._members = frozenset({own_node})
        self._links = {own_node: link_mbps or 0.0}
        self._unknown_mbps = self._links[own_node]
        self._first_hand = {own_node}
        self._ranking = [own_node]
        # Nodes asked: pairs of time and question. Of the last answers: when a good one
        # came, how many failed in a row, until when a node is passed over.
        self._asked = {}
        self._good = {}
        self._failures = {}
        self._passed_over = {}
        # Bad answers of anybody in a row slow down the asking of others in their place.
        self._bad_answer_count = 0
        self._next_spare_s = 0.0
        self._next_retry_s = 0.0
        self._next_acquaint_s = 0.0
        # When a node last told that it has lost the source.
        self._told_lost_s = -math.inf
        # Questions of others by exchange: pairs of base and the time of the answer.
        self._waiting = {}
        # Set by an answer that there is a newer version without a difference to it,
        # cleared by a whole read or a difference.
        self._is_behind = False
        self._next_behind_s = 0.0
        self._next_behind_ask_s = 0.0
        # The version held when the read of the source under way began.
        self._read_from = NO_VERSION

    # Who asks whom

    def list_members(self, event):
        """Take the nodes of the own failure domain."""
        self._members = event.addresses | {self.own_node}
        for known in (
            self._links,
            self._passed_over,
            self._failures,
            self._good,
            self._asked,
        ):
            for address in known.keys() - self._members:
                del known[address]
        self._first_hand &= self._members
        self._rank()

    def _rank(self):
        # If unknown links counted as none, each node would be first in its own view,
        # ask nobody, and never learn of another link.
        self._unknown_mbps = min(self._links.values())
        self._ranking = sorted(self._members, key=self._rate, reverse=True)

    def _rate(self, address):
        """Return the place of a node: by the width of its link, then by score."""
        mbps = self._links.get(address, self._unknown_mbps)
        # Links that differ by less than a half are alike.
        width = round(math.log2(mbps)) if mbps > 0 else -math.inf
        return width, compute_score(CONFIG, address)

    def _learn_links(self, links, teller=None):
        """Take links; what a node says of its own counts more than hearsay."""
        if teller in self._members:
            self._first_hand.add(teller)
        known = {
            item: mbps
            for item, mbps in links
            if item in self._members
            and (item == teller or item not in self._first_hand)
        }
        if any(self._links.get(item) != mbps for item, mbps in known.items()):
            self._links.update(known)
            self._rank()

    def _tell_links(self):
        widest = self._ranking[:TOLD_LINKS]
        told = [(item, self._links[item]) for item in widest if self._links.get(item)]
        own = (self.own_node, self._links[self.own_node])
        return tuple(told if own in told else [*told, own])

    def list_ranking(self):
        """Return the nodes of the domain, the first to watch first, in this view."""
        return list(self._ranking)

    def _list_present(self, now_s):
        """Return the ranking without those that are passed over."""
        if not self._passed_over and not self._failures:
            return self._ranking
        return [
            address
            for address in self._ranking
            if address == self.own_node
            or address not in self._failures
            and now_s >= self._passed_over.get(address, 0.0)
        ]

    def list_parents(self, now_s):
        """Return whom this node asks; nobody if it watches the source.

        :param now_s: the loop's time in seconds.
        """
        return self._place(now_s)[1]

    def _list_asked(self, now_s):
        """Return the nodes to ask; those that watch ask each other.

        So both know the versions that either passes on, and thus the bases of all.
        """
        first = self._list_present(now_s)[:PARENTS]
        parents = self.list_parents(now_s)
        return parents or [item for item in first if item != self.own_node]

    def _place(self, now_s):
        """Return the own layer, and the addresses of the nodes to ask."""
        present = self._list_present(now_s)
        index = present.index(self.own_node)
        layer, above, width = 0, [], PARENTS
        first = 0
        while index >= first + width:
            layer, above = layer + 1, present[first : first + width]
            first, width = first + width, width * GROWTH
        if not layer:
            return 0, []
        start = (index - first) // GROWTH
        parents = [above[(start + step) % len(above)] for step in range(PARENTS)]
        return layer, parents

    # Time

    def tick(self, event):
        """Ask, read and answer whatever is due."""
        now_s = event.now_s
        layer, parents = self._place(now_s)
        is_watcher = not parents or self._lacks_answers(now_s)
        result = self._read_source(is_watcher, now_s)
        result += self._ask_all(self._list_asked(now_s), now_s)
        result += self._retry_failed(now_s)
        if not parents:
            result += self._acquaint(now_s)
        return result + self._end_waits(layer, now_s)

    def _lacks_answers(self, now_s):
        """Return whether nobody has given this node a good answer of late."""
        return not any(now_s < at_s + GOOD_ANSWER_S for at_s in self._good.values())

    def _ask_all(self, parents, now_s):
        """Ask those that are not being asked."""
        if not self._may_ask(now_s):
            return []
        may_try = now_s >= self._next_spare_s
        return [
            self._ask(address, now_s, self._choose_wait_s(now_s))
            for address in parents
            if address not in self._asked and (may_try or address in self._good)
        ]

    def _may_ask(self, now_s):
        """Return whether another node may have what this one needs.

        A whole version comes from the source. If that fails, others are asked again now
        and then: they may have a difference by then.
        """
        if self.versions.document is None:
            return False
        if not self._is_behind:
            return True
        return self.sources.is_failing(CONFIG) and now_s >= self._next_behind_ask_s

    def _choose_wait_s(self, now_s):
        """Return a whole wait, or half of one if a question has just been asked.

        So the answers of two nodes alternate, and the first that falls silent is
        noticed sooner.
        """
        is_close = any(
            now_s < at_s + QUESTION_WAIT_S / 4 for at_s, _ in self._asked.values()
        )
        return QUESTION_WAIT_S / 2 if is_close else QUESTION_WAIT_S

    def _retry_failed(self, now_s):
        """Ask one of the nodes that failed; they are passed over until they answer."""
        if now_s < self._next_retry_s or not self._may_ask(now_s):
            return []
        due = [item for item in self._failures if now_s >= self._passed_over[item]]
        due.sort(key=self._passed_over.get)
        if not due or due[0] in self._asked:
            return []
        self._next_retry_s = now_s + FAILURE_PAUSE_S
        return [self._ask(due[0], now_s, 0.0)]

    def _acquaint(self, now_s):
        """Ask any node, now and then, as nodes that only watch learn of no links."""
        if now_s < self._next_acquaint_s or self.versions.document is None:
            return []
        pause_s = ACQUAINT_INTERVAL_S * self._random.uniform(0.5, 1.0)
        self._next_acquaint_s = now_s + pause_s
        present = [
            address
            for address in self._list_present(now_s)
            if address != self.own_node and address not in self._asked
        ]
        if not present:
            return []
        return [self._ask(self._random.choice(present), now_s, 0.0)]

    def _read_source(self, is_watcher, now_s):
        held = self.versions.version
        is_reader = is_watcher or self._is_behind or held == NO_VERSION
        effect = self.sources.begin_read(CONFIG, held, is_reader, now_s)
        if effect is None:
            return []
        self._read_from = held
        # Whoever knows that there is something newer need not wait for it.
        return [replace(effect, wait_s=0.0) if self._is_behind else effect]

    def _ask(self, address, now_s, wait_s):
        question = news.Question(self.versions.version, wait_s, self._tell_links())
        self._asked[address] = (now_s, question)
        return news.Ask(address, question)

    def _end_waits(self, layer, now_s):
        """Answer questions that have waited, all of them when the source is lost."""
        is_lost = _is_too_old(self._get_source_age_s(layer, now_s), layer)
        due = [
            exchange_id
            for exchange_id, (_, until_s) in self._waiting.items()
            if is_lost or now_s >= until_s
        ]
        return [self._answer(exchange_id, now_s) for exchange_id in due]

    def _get_source_age_s(self, layer, now_s):
        """Return the time since the source confirmed what is held, or None."""
        sources = self.sources
        age_s = sources.get_age_s(now_s)
        if layer and not self._lacks_answers(now_s):
            return age_s
        is_failing = sources.is_failing(CONFIG)
        is_overdue = sources.is_overdue(CONFIG, OVERDUE_S, now_s)
        # After word of a lost source this node knows no better before it has read.
        is_lost = layer and age_s is not None and now_s - age_s < self._told_lost_s
        if is_failing or is_overdue or is_lost:
            return None  # others should not wait until it is old
        return age_s

    # Questions of other nodes

    def take_question(self, event):
        """Answer at once if there is news, else when there is or the time is over."""
        question = event.question
        self._learn_links(question.links)
        until_s = event.now_s + question.wait_s
        self._waiting[event.exchange_id] = (question.base, until_s)
        layer = self._place(event.now_s)[0]
        age_s = self._get_source_age_s(layer, event.now_s)
        if self._is_news_for(question.base) or _is_too_old(age_s, layer):
            return [self._answer(event.exchange_id, event.now_s)]
        return []

    def forget_question(self, exchange_id):
        """Drop a question whose asker has left."""
        self._waiting.pop(exchange_id, None)

    def _is_news_for(self, base):
        return self.versions.version > (base or NO_VERSION)

    def _answer(self, exchange_id, now_s, deltas=None):
        base, _ = self._waiting.pop(exchange_id)
        delta = None
        is_behind = self._is_news_for(base)
        if is_behind:
            deltas = {} if deltas is None else deltas
            if base not in deltas:
                deltas[base] = self._make_delta(base)
            delta = deltas[base]
        answer = news.News(
            delta,
            is_behind and delta is None,
            self._get_source_age_s(self._place(now_s)[0], now_s),
            self._tell_links(),
        )
        return news.AnswerQuestion(exchange_id, answer)

    def _make_delta(self, base):
        """Return the difference to a version, or None if the asker had better read."""
        if self.versions.find(base) is None:
            return None
        delta = self.versions.make_delta(base)
        if self._link_mbps is not None:
            size = sum(len(name) + len(text) for name, text in delta.changed.items())
            askers = PARENTS * GROWTH
            if size * 8 * askers > self._link_mbps * 1e6 * MAX_SEND_S:
                return None
        return delta

    # What comes back

    def take_news(self, event):
        """Put a newer version in force, or note that this node is behind."""
        address, answer, now_s = event.address, event.news, event.now_s
        if address not in self._asked:
            return []  # it has left the domain meanwhile
        asked_s, question = self._asked.pop(address)
        self._failures.pop(address, None)
        self._learn_links(answer.links, address)
        layer = self._place(now_s)[0]
        # In its own view of the layers it may have lost the source sooner.
        is_early = now_s - asked_s < question.wait_s / 2
        is_early = is_early and answer.delta is None and not answer.is_behind
        if is_early or _is_too_old(answer.source_age_s, max(0, layer - 1)):
            self._passed_over[address] = now_s + LOST_SOURCE_PAUSE_S
            if answer.source_age_s is None:
                self._told_lost_s = now_s
            self._note_bad_answer(address, now_s)
        else:
            self._passed_over.pop(address, None)
            self._good[address] = now_s
            self._bad_answer_count = max(0, self._bad_answer_count - 1)
            self.sources.note_heard(now_s - answer.source_age_s)
        # Another node may have brought what this one was behind.
        if answer.is_behind and question.base == self.versions.version:
            self._next_behind_ask_s = now_s + FAILURE_PAUSE_S
            self._note_behind(now_s)
        delta = answer.delta
        if delta is None or not self.versions.is_news(delta.version):
            return self._ask_on(address, now_s)
        try:
            document = self.versions.merge(delta)
        except DocumentError as error:
            self._note_behind(now_s)
            fields = {"node": address, "reason": str(error)}
            return [effects.ReportChange("bad difference", fields)]
        self._is_behind = False
        result = self._offer(document, address, now_s)
        return result + self._ask_on(address, now_s)

    def _ask_on(self, address, now_s):
        """Ask the node again at once, so that no news waits for the next tick."""
        if address not in self._list_asked(now_s):
            return []
        return self._ask_all([address], now_s)

    def _note_behind(self, now_s):
        if not self._is_behind:
            self._is_behind = True
            due_s = max(now_s + BEHIND_GRACE_S, self._next_behind_s)
            self.sources.hasten(CONFIG, due_s)

    def take_failure(self, event):
        """Pass a node over that gave no answer."""
        address = event.address
        if self._asked.pop(address, None) is None:
            return []  # it has left the domain meanwhile
        count = self._failures.get(address, 0)
        self._failures[address] = count + 1
        pause_s = min(FAILURE_PAUSE_MAX_S, FAILURE_PAUSE_S * 2**count)
        self._passed_over[address] = event.now_s + pause_s
        if not count:
            self._note_bad_answer(address, event.now_s)
        return self._ask_all(self._list_asked(event.now_s), event.now_s)

    def _note_bad_answer(self, address, now_s):
        """Take others for it, but not the whole domain at once."""
        self._good.pop(address, None)
        self._bad_answer_count += 1
        pause_s = TRY_PAUSE_S * max(0, self._bad_answer_count - FREE_TRIES)
        self._next_spare_s = now_s + min(pause_s, LOST_SOURCE_PAUSE_S / 2)

    def take_source_answer(self, event):
        """Put what the source has in force, if it is newer."""
        # Other nodes may have brought newer versions since the read began.
        current, result = self.sources.take_answer(event, self._read_from)
        if not current:
            return result
        if self._is_behind and event.document is None:
            # The source holds nothing newer that is good; others may have it.
            self._next_behind_s = event.now_s + BEHIND_PAUSE_S
        self._is_behind = False
        if event.document is not None:
            result += self._offer(event.document, "source", event.now_s)
        return result

    def take_source_failure(self, event):
        """Plan the next read."""
        return self.sources.take_failure(event, False)

    # Versions

    def _offer(self, document, origin, now_s):
        """Apply a document that is newer than the one held, whole or not at all."""
        versions = self.versions
        if not versions.is_news(document.version):
            return []
        before = versions.document
        try:
            self._apply(document)
        except ContentError as error:
            versions.reject(document.version, str(error))
            fields = {
                "version": document.version.revision,
                "origin": origin,
                "reason": str(error),
            }
            return [effects.ReportChange("configuration rejected", fields)]
        versions.keep(document, now_s)
        self.sources.set_backoff(BACKOFF_S)
        applied = news.ConfigurationApplied(
            document.version.revision,
            None if before is None else before.version.revision,
            len(document.parts),
            origin,
        )
        deltas = {}
        waiting = [
            exchange_id
            for exchange_id, (base, _) in self._waiting.items()
            if self._is_news_for(base)
        ]
        answers = [self._answer(item, now_s, deltas) for item in waiting]
        return [applied, *answers]


def _is_too_old(age_s, layer):
    """Return whether a node of a layer has lost the source, by its age there."""
    return age_s is None or age_s > SOURCE_LOST_S + layer * QUESTION_WAIT_S
