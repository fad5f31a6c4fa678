"""Spreads what nodes know of crashes: at once to a few, then by exchanges.

A node that learns something new tells a few random nodes of its failure domain, and the
one that saw the crash some of each other domain, too: messages do not grow with the
fleet for any one node, and news takes a few hops. Exchanges of two random nodes bring
it to those that were missed, were cut off or have just started. Without crashes,
nothing is sent.
"""

import math
from dataclasses import dataclass

from balsamdeal.core.crashes import CrashReport

# How many nodes of its own failure domain a node tells of news.
FAN_OUT = 6
# How many nodes of each other failure domain are told by the node that saw a crash.
OTHER_DOMAIN_COPIES = 2
# Mean interval of a node's exchanges, and which of them goes to another domain.
EXCHANGE_S = 1.0
OTHER_DOMAIN_EXCHANGE = 4
# Exchanges of a process that has just started and knows nothing.
START_EXCHANGES = 3


@dataclass(frozen=True, slots=True)
class CrashNewsReceived:
    """Another node told what it knows of crashes.

    ``cleared`` are pairs of digest and the time at which it ran well. ``message_id``
    is that of a message to answer, None for an answer. ``exchange`` is set if the other
    node asks for all that this one knows.
    """

    reports: tuple[CrashReport, ...]
    cleared: tuple[tuple[str, float], ...]
    message_id: int | None
    exchange: bool
    now_s: float


@dataclass(frozen=True, slots=True)
class SendCrashNews:
    """Tells a node of crashes; ``exchange`` asks for what it knows in return."""

    address: str
    reports: tuple[CrashReport, ...]
    cleared: tuple[tuple[str, float], ...] = ()
    exchange: bool = False


@dataclass(frozen=True, slots=True)
class AnswerCrashNews:
    """Answers a message with what this node knows and the other one may not."""

    message_id: int
    reports: tuple[CrashReport, ...]
    cleared: tuple[tuple[str, float], ...]


class CrashNews:
    """Sends, receives and forwards news of crashes; changed in place.

    :param table: the ``CrashTable``.
    :param targets: the ``TargetList``.
    :param own_node: the address of this node as other nodes reach it.
    :param own_domain: the failure domain of this node.
    :param random: a seeded generator.
    """

    def __init__(self, table, targets, own_node, own_domain, random):
        self.table = table
        self._targets = targets
        self._own_node = own_node
        self._own_domain = own_domain
        self._random = random
        self._next_exchange_s = -math.inf
        self._exchanges = 0

    def _list_nodes(self):
        """Return the addresses of other nodes by failure domain, sorted."""
        domains = {}
        for target in self._targets.targets.values():
            if target.node_address != self._own_node:
                nodes = domains.setdefault(target.failure_domain, set())
                nodes.add(target.node_address)
        return {name: sorted(nodes) for name, nodes in sorted(domains.items())}

    def _sample(self, nodes, count):
        return self._random.sample(nodes, min(count, len(nodes)))

    def record(self, reports, now_s):
        """Merge reports of another node; forward those that are news."""
        news = tuple(report for report in reports if self.table.merge(report, now_s))
        if not news:
            return []
        near = self._list_nodes().get(self._own_domain, [])
        return [SendCrashNews(node, news) for node in self._sample(near, FAN_OUT)]

    def publish(self, report, now_s):
        """Add the report of a crash that this node has seen, and tell others."""
        self.table.merge(report, now_s)
        chosen = []
        for domain, nodes in self._list_nodes().items():
            near = domain == self._own_domain
            chosen += self._sample(nodes, FAN_OUT if near else OTHER_DOMAIN_COPIES)
        return [SendCrashNews(node, (report,)) for node in chosen]

    def handle_news(self, event):
        """Merge another node's message, and answer it.

        News of a crash is answered with the other crashes of the same requests: its
        sender may have been cut off when they occurred.
        """
        result = self.record(event.reports, event.now_s)
        for digest, at_s in event.cleared:
            self.table.clear(digest, at_s)
        if event.message_id is None:
            return result
        if event.exchange:
            found = self.table.list_relevant(event.now_s)
            cleared = tuple(self.table.list_cleared(event.now_s))
        else:
            digests = {run.digest for item in event.reports for run in item.runs}
            found = [
                report
                for digest in sorted(digests)
                for report in self.table.list_evidence(digest)
            ]
            cleared = ()
        known = {report.crash_id for report in event.reports}
        reports = tuple(item for item in found if item.crash_id not in known)
        return [*result, AnswerCrashNews(event.message_id, reports, cleared)]

    def tick(self, now_s):
        """Begin an exchange with a random node, if one is due."""
        if now_s < self._next_exchange_s:
            return []
        self._next_exchange_s = now_s + EXCHANGE_S * self._random.uniform(0.8, 1.2)
        starting = self._exchanges < START_EXCHANGES
        if not (starting or self.table.reports):
            return []
        reports = tuple(self.table.list_relevant(now_s))
        if not (starting or reports):
            return []
        domains = self._list_nodes()
        if not domains:
            return []
        self._exchanges += 1
        near = domains.pop(self._own_domain, [])
        nodes = near
        if not near or self._exchanges % OTHER_DOMAIN_EXCHANGE == 0:
            nodes = [node for names in domains.values() for node in names] or near
        cleared = tuple(self.table.list_cleared(now_s))
        return [SendCrashNews(self._random.choice(nodes), reports, cleared, True)]
