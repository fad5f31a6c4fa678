"""Specification of configuration distribution: three nodes, a source, lossy messages.

Nodes 0 and 1 are watchers in one failure domain, node 2 is an ordinary node in
another. Version 2 is invalid. Each guard of the protocol can be removed by name,
which must violate a property. Pauses need no step of their own: any node may stay
idle while all others act, and any message may arrive late.
"""

from dataclasses import dataclass, replace

from pyModelChecking.CTL import AF, AG

from spec.exploration import check

# newer: a node applies only versions newer than those it has.
# valid: a node rejects an invalid version.
# digest: a node rejects a message that was cut short.
# atomic: routes and services of a version come into force together.
# compare: nodes compare versions in pairs, and the older one pulls.
# probe: a node that isn't a watcher reads the source when no watcher is alive.
GUARDS = ("newer", "valid", "digest", "atomic", "compare", "probe")
NODES = (0, 1, 2)
WATCHERS = (0, 1)
BAD_VERSION = 2
LAST_VERSION = 3
DEAD = (-1, -1)
PROPERTIES = {
    "never back": AG("forward"),
    "whole": AG("whole"),
    "no bad version": AG("good"),
    "in force everywhere": AF(AG("converged")),
}


@dataclass(frozen=True, slots=True)
class State:
    """A state of the source, the nodes, the messages in flight and the faults left.

    ``nodes`` has a pair for each node: the versions of its routes and its services.
    ``messages`` are (receiver, version, complete). ``cut`` says that a network
    partition separates the two domains, ``rolled_back`` that a node went back to an
    older version. The fields from ``crashes`` on count the faults that may still
    happen.
    """

    published: int = 1
    nodes: tuple = ((1, 1), (1, 1), (1, 1))
    messages: frozenset = frozenset()
    cut: bool = False
    rolled_back: bool = False
    crashes: int = 1
    losses: int = 1
    duplicates: int = 1
    corruptions: int = 1
    stale_reads: int = 1
    cuts: int = 1


NO_FAULTS = State(
    crashes=0, losses=0, duplicates=0, corruptions=0, stale_reads=0, cuts=0
)

# The fewest faults under which removing a guard violates a property.
FAULTS_BY_GUARD = {
    "newer": replace(NO_FAULTS, stale_reads=1),
    "valid": NO_FAULTS,
    "digest": replace(NO_FAULTS, corruptions=1),
    "atomic": NO_FAULTS,
    "compare": replace(NO_FAULTS, losses=1),
    "probe": replace(NO_FAULTS, crashes=1),
}


def apply(state, node, version, complete, guards):
    """Return the state after a node received a version and applied or rejected it.

    :param complete: whether all of the version arrived.
    """
    routes, services = state.nodes[node]
    newest = max(routes, services) if "newer" in guards else -1
    if (routes, services) == DEAD or version <= newest or version == routes == services:
        return state
    if version == BAD_VERSION and "valid" in guards:
        return state
    if not complete and "digest" in guards:
        return state
    updated = (
        (version, version) if complete and "atomic" in guards else (version, services)
    )
    nodes = state.nodes[:node] + (updated,) + state.nodes[node + 1 :]
    rollback_seen = state.rolled_back or version < routes
    sent = {
        (other, version, True)
        for other in NODES
        if other != node and not are_partitioned(state, node, other)
    }
    # A receiver needs only the newest message of each version in flight to it.
    messages = {m for m in state.messages if m[:2] not in {s[:2] for s in sent}} | sent
    return replace(
        state, nodes=nodes, rolled_back=rollback_seen, messages=frozenset(messages)
    )


def are_partitioned(state, one, other):
    """Return whether the partition separates two nodes."""
    return state.cut and (one == 2) != (other == 2)


def list_successors(state, guards):
    """Yield the states that one step leads to."""
    if state.published < LAST_VERSION:
        yield replace(state, published=state.published + 1)
    yield from read_source(state, guards)
    yield from deliver(state, guards)
    yield from compare(state, guards)
    yield from inject_faults(state)
    for node, (routes, services) in enumerate(state.nodes):
        if routes != services:
            nodes = list(state.nodes)
            nodes[node] = (routes, routes)
            yield replace(state, nodes=tuple(nodes))


def read_source(state, guards):
    """Yield reads by watchers, or by any live node if no watcher is alive."""
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
    """Yield the arrival, duplication, loss and truncation of each message."""
    for message in state.messages:
        node, version, complete = message
        remaining = replace(state, messages=state.messages - {message})
        yield apply(remaining, node, version, complete, guards)
        if state.duplicates:
            yield apply(replace(state, duplicates=0), node, version, complete, guards)
        if state.losses:
            yield replace(remaining, losses=0)
        if state.corruptions:
            cut = remaining.messages | {(node, version, False)}
            yield replace(remaining, messages=cut, corruptions=0)


def compare(state, guards):
    """Yield comparisons of two nodes: the one with older routes pulls the newer."""
    if "compare" not in guards:
        return
    for one in NODES:
        for other in NODES:
            if one == other or are_partitioned(state, one, other):
                continue
            routes, services = state.nodes[other]
            if routes == services and routes > state.nodes[one][0] >= 0:
                yield apply(state, one, routes, True, guards)


def inject_faults(state):
    """Yield a node's replacement, the permanent loss of both watchers, a partition."""
    if state.crashes:
        for node in NODES:
            nodes = list(state.nodes)
            nodes[node] = (0, 0)
            yield replace(state, nodes=tuple(nodes), crashes=0)
        domain_dead = replace(state, nodes=(DEAD, DEAD, state.nodes[2]), crashes=0)
        yield replace(
            domain_dead,
            messages=frozenset(m for m in domain_dead.messages if m[0] == 2),
        )
    if state.cuts and not state.cut:
        yield replace(state, cut=True, cuts=0)
    if state.cut:
        yield replace(state, cut=False)


def label(state):
    """Return the atomic propositions that hold in a state."""
    alive = [pair for pair in state.nodes if pair != DEAD]
    result = set()
    if not state.rolled_back:
        result.add("forward")
    if all(routes == services for routes, services in alive):
        result.add("whole")
    if all(BAD_VERSION not in pair for pair in alive):
        result.add("good")
    if all(pair == (LAST_VERSION, LAST_VERSION) for pair in alive):
        result.add("converged")
    return result


def check_distribution(removed=""):
    """Return the ``Verdict`` on the protocol, or on it without one guard.

    :param removed: the guard to remove, or the empty string. The full protocol is
        checked under all faults, one without a guard under those of FAULTS_BY_GUARD.
    """
    guards = frozenset(GUARDS) - {removed}
    initial = FAULTS_BY_GUARD[removed] if removed else State()
    return check(
        initial, lambda state: list_successors(state, guards), label, PROPERTIES
    )
