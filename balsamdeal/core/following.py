"""How a node follows the configuration: from the source, or from nodes before it.

A version is large and links are narrow, so few nodes read it whole. The nodes of a
failure domain are ranked, those with wide links first. The first two watch the source.
The others form layers below them: each keeps a question waiting at two nodes of the
layer above, and gets the difference to a newer version as soon as one of them has it.
A node that fails to answer, or has not heard from the source itself, is passed over
for a while; whoever finds fewer than two nodes before it watches the source.

Nodes with different views of the others rank them differently. That is harmless: a
node that serves nobody, or two more that watch, cost some bytes.
"""

import math

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
# How long the source may take to answer a watch that has no news. With the questions'
# wait this finds a lost path before a version is overdue (two seconds).
WATCH_WAIT_S = 1.0
# A watching node whose last word of the source is older has lost it: a pause after
# news and the read of a whole version over a narrow link fit in. Each layer below hears
# up to one wait of a question later.
SOURCE_LOST_S = 2.0
# How long a node is passed over that failed to answer, doubled with each failure up to
# the longest, and one that has lost the source.
FAILURE_PAUSE_S = 0.5
FAILURE_PAUSE_MAX_S = 8.0
LOST_SOURCE_PAUSE_S = 3.0
# Longest pauses after a failed read of the source, without any configuration and with.
START_BACKOFF_S = 0.8
BACKOFF_S = 2.0
# After news the source is left alone for this long, so that a storm of versions becomes
# a few reads.
NEWS_PAUSE_S = 0.4
# A difference is passed on if sending it to all who ask takes less than this on the
# own link; others read the source, each over its own.
MAX_SEND_S = 0.5
# Links that each message tells of: those of the widest nodes known, and the own.
TOLD_LINKS = 4
# How often a node asks one of those whose links it does not know.
EXPLORE_S = 0.2


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
        self._random = random
        self._link_mbps = link_mbps
        self._apply = apply
        self._members = frozenset({own_node})
        self._links = {own_node: link_mbps or 0.0}
        self._explore_s = 0.0
        self._ranking = [own_node]
        self._passed_over = {}
        self._failures = {}
        self._asked = {}
        self._waiting = {}
        self._is_behind = False

    # Who asks whom

    def list_members(self, event):
        """Take the nodes of the own failure domain."""
        self._members = event.addresses | {self.own_node}
        for known in (self._links, self._passed_over, self._failures):
            for address in known.keys() - self._members:
                del known[address]
        self._rank()

    def _rank(self):
        self._ranking = sorted(self._members, key=self._rate, reverse=True)

    def _rate(self, address):
        """Return the place of a node: by the width of its link, then by score.

        A link that is not known yet is taken to be like the own.
        """
        mbps = self._links.get(address, self._links[self.own_node])
        # Links that differ by less than a half are alike.
        width = round(math.log2(mbps)) if mbps > 0 else -math.inf
        return width, compute_score(CONFIG, address)

    def _learn_links(self, links):
        known = {item: mbps for item, mbps in links if item in self._members}
        known.pop(self.own_node, None)
        if any(self._links.get(item) != mbps for item, mbps in known.items()):
            self._links.update(known)
            self._rank()

    def _tell_links(self):
        widest = self._ranking[:TOLD_LINKS]
        told = [(item, self._links[item]) for item in widest if self._links.get(item)]
        own = (self.own_node, self._links[self.own_node])
        return tuple(told if own in told else [*told, own])

    def list_ranking(self):
        """Return the nodes of the domain in this view, the first to watch first."""
        return list(self._ranking)

    def _list_present(self, now_s):
        """Return the ranking without those that are passed over."""
        return [
            address
            for address in self._ranking
            if address == self.own_node or now_s >= self._passed_over.get(address, 0.0)
        ]

    def list_parents(self, now_s):
        """Return whom this node asks; nobody if it watches the source.

        :param now_s: the loop's time in seconds.
        """
        return self._place(now_s)[1]

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
        result = self._read_source(not parents, now_s)
        result += self._ask_all(parents, now_s)
        result += self._explore(now_s)
        return result + self._end_waits(layer, now_s)

    def _explore(self, now_s):
        """Ask one of the nodes whose links are not known; it learns of the own, too."""
        if now_s < self._explore_s or self.versions.document is None:
            return []
        unknown = [
            address
            for address in self._list_present(now_s)
            if address not in self._links and address not in self._asked
        ]
        if not unknown:
            return []
        self._explore_s = now_s + EXPLORE_S
        return [self._ask(self._random.choice(unknown), now_s, 0.0)]

    def _ask_all(self, parents, now_s):
        """Ask those that are not being asked."""
        if self.versions.document is None or self._is_behind:
            return []  # a whole version comes from the source
        return [
            self._ask(address, now_s)
            for address in parents
            if address not in self._asked
        ]

    def _read_source(self, is_watcher, now_s):
        held = self.versions.version
        needs_whole = self._is_behind or held == NO_VERSION
        version = NO_VERSION if needs_whole else held
        is_reader = is_watcher or needs_whole
        effect = self.sources.begin_read(CONFIG, version, is_reader, now_s)
        return [] if effect is None else [effect]

    def _ask(self, address, now_s, wait_s=QUESTION_WAIT_S):
        self._asked[address] = self.versions.version
        question = news.Question(self.versions.version, wait_s, self._tell_links())
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
        if not layer and self.sources.is_failing(CONFIG):
            return None  # others should not wait until it is old
        return self.sources.get_age_s(now_s)

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
        base = self._asked.pop(address, None)
        self._failures.pop(address, None)
        self._learn_links(answer.links)
        layer, parents = self._place(now_s)
        age_s = answer.source_age_s
        if address in parents and _is_too_old(age_s, layer - 1):
            self._passed_over[address] = now_s + LOST_SOURCE_PAUSE_S
        else:
            self._passed_over.pop(address, None)
        if age_s is not None:
            self.sources.note_heard(now_s - age_s)
        if answer.is_behind and base == self.versions.version:
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
        result = self._offer(document, address, now_s)
        return result + self._ask_on(address, now_s)

    def _ask_on(self, address, now_s):
        """Ask the node again at once, so that no news waits for the next tick."""
        if address not in self.list_parents(now_s):
            return []
        return self._ask_all([address], now_s)

    def _note_behind(self, now_s):
        if not self._is_behind:
            self._is_behind = True
            self.sources.hasten(CONFIG, now_s)

    def take_failure(self, event):
        """Pass a node over that gave no answer."""
        address = event.address
        self._asked.pop(address, None)
        count = self._failures.get(address, 0)
        self._failures[address] = count + 1
        pause_s = min(FAILURE_PAUSE_MAX_S, FAILURE_PAUSE_S * 2**count)
        self._passed_over[address] = event.now_s + pause_s
        return self._ask_all(self.list_parents(event.now_s), event.now_s)

    def take_source_answer(self, event):
        """Put what the source has in force, if it is newer."""
        current, result = self.sources.take_answer(event, self.versions.version)
        if not current:
            return result
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
