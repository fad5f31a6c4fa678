"""Specification of distribution: three nodes, a source, lossy announcements.

Nodes 0 and 1 are watchers in one domain, node 2 is an ordinary node in another.
Version 2 is bad. Each guard of the protocol can be taken out by name, which must
break a property. Pauses need no action of their own: any node may stay idle while
all others act, and any message may arrive late.
"""

from dataclasses import dataclass, replace

from pyModelChecking.CTL import AF, AG

from spec.exploration import check

GUARDS = ("newer", "valid", "digest", "atomic", "compare", "probe")
NODES = (0, 1, 2)
WATCHERS = (0, 1)
BAD = 2
LAST = 3
DEAD = (-1, -1)
PROPERTIES = {
    "never back": AG("forward"),
    "whole": AG("whole"),
    "no bad version": AG("good"),
    "in force everywhere": AF(AG("converged")),
}


@dataclass(frozen=True, slots=True)
class State:
    """A state; a node holds a pair of versions, of its routes and its services.

    ``messages`` are (receiver, version, whole). The budgets count what may still
    go wrong.
    """

    published: int = 1
    nodes: tuple = ((1, 1), (1, 1), (1, 1))
    messages: frozenset = frozenset()
    cut: bool = False
    went_back: bool = False
    crashes: int = 1
    losses: int = 1
    doubles: int = 1
    corruptions: int = 1
    stale_reads: int = 1
    cuts: int = 1


CALM = State(crashes=0, losses=0, doubles=0, corruptions=0, stale_reads=0, cuts=0)

# The fewest faults under which the protocol without a guard breaks a property.
FAULTS_BY_GUARD = {
    "newer": replace(CALM, stale_reads=1),
    "valid": CALM,
    "digest": replace(CALM, corruptions=1),
    "atomic": CALM,
    "compare": replace(CALM, losses=1),
    "probe": replace(CALM, crashes=1),
}


def apply(state, node, version, whole, guards):
    """Return the state after a node was offered a version."""
    routes, services = state.nodes[node]
    held = max(routes, services) if "newer" in guards else -1
    if (routes, services) == DEAD or version <= held or version == routes == services:
        return state
    if version == BAD and "valid" in guards:
        return state
    if not whole and "digest" in guards:
        return state
    now = (version, version) if whole and "atomic" in guards else (version, services)
    nodes = state.nodes[:node] + (now,) + state.nodes[node + 1 :]
    back = state.went_back or version < routes
    sent = {
        (other, version, True)
        for other in NODES
        if other != node and not separated(state, node, other)
    }
    # A receiver needs only the newest announcement that is under way to it.
    messages = {m for m in state.messages if m[:2] not in {s[:2] for s in sent}} | sent
    return replace(state, nodes=nodes, went_back=back, messages=frozenset(messages))


def separated(state, one, other):
    """Return whether the cut lies between two nodes."""
    return state.cut and (one == 2) != (other == 2)


def list_successors(state, guards):
    """Yield the states that one step leads to."""
    if state.published < LAST:
        yield replace(state, published=state.published + 1)
    yield from read_source(state, guards)
    yield from deliver(state, guards)
    yield from compare(state, guards)
    yield from fail(state)
    for node, (routes, services) in enumerate(state.nodes):
        if routes != services:
            nodes = list(state.nodes)
            nodes[node] = (routes, routes)
            yield replace(state, nodes=tuple(nodes))


def read_source(state, guards):
    """Watchers read; the other node probes when no watcher lives."""
    readers = [node for node in WATCHERS if state.nodes[node] != DEAD]
    if not readers and "probe" in guards:
        readers = [node for node in NODES if state.nodes[node] != DEAD]
    for node in readers:
        if node == 2 and state.cut:
            continue
        yield apply(state, node, state.published, True, guards)
        if state.stale_reads:
            stale = replace(state, stale_reads=0)
            for version in range(1, state.published):
                yield apply(stale, node, version, True, guards)


def deliver(state, guards):
    """Messages arrive, twice or cut short, or get lost."""
    for message in state.messages:
        node, version, whole = message
        left = replace(state, messages=state.messages - {message})
        yield apply(left, node, version, whole, guards)
        if state.doubles:
            yield apply(replace(state, doubles=0), node, version, whole, guards)
        if state.losses:
            yield replace(left, losses=0)
        if state.corruptions:
            cut = left.messages | {(node, version, False)}
            yield replace(left, messages=cut, corruptions=0)


def compare(state, guards):
    """Two nodes compare views, and the older one pulls."""
    if "compare" not in guards:
        return
    for one in NODES:
        for other in NODES:
            if one == other or separated(state, one, other):
                continue
            routes, services = state.nodes[other]
            if routes == services and routes > state.nodes[one][0] >= 0:
                yield apply(state, one, routes, True, guards)


def fail(state):
    """A node is replaced, a domain's watchers die for good, a cut comes and goes."""
    if state.crashes:
        for node in NODES:
            nodes = list(state.nodes)
            nodes[node] = (0, 0)
            yield replace(state, nodes=tuple(nodes), crashes=0)
        gone = replace(state, nodes=(DEAD, DEAD, state.nodes[2]), crashes=0)
        yield replace(gone, messages=frozenset(m for m in gone.messages if m[0] == 2))
    if state.cuts and not state.cut:
        yield replace(state, cut=True, cuts=0)
    if state.cut:
        yield replace(state, cut=False)


def label(state):
    """Return the atomic propositions that hold in a state."""
    alive = [pair for pair in state.nodes if pair != DEAD]
    result = set()
    if not state.went_back:
        result.add("forward")
    if all(routes == services for routes, services in alive):
        result.add("whole")
    if all(BAD not in pair for pair in alive):
        result.add("good")
    if all(pair == (LAST, LAST) for pair in alive):
        result.add("converged")
    return result


def check_distribution(removed=""):
    """Return the ``Verdict`` on the protocol, or on it without one guard.

    :param removed: the guard taken out; the whole protocol is checked under all
        faults, a protocol without a guard under those of FAULTS_BY_GUARD.
    """
    guards = frozenset(GUARDS) - {removed}
    initial = FAULTS_BY_GUARD[removed] if removed else State()
    return check(
        initial, lambda state: list_successors(state, guards), label, PROPERTIES
    )
