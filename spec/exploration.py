"""Explores a specification's states and checks CTL properties on them.

States come from a breadth-first search; pyModelChecking checks the formulas. Every
step of the specifications consumes something finite, so the only infinite runs are
those that stay in a final state. AF properties therefore need no fairness assumption.
"""

from dataclasses import dataclass

from pyModelChecking import Kripke
from pyModelChecking.CTL import modelcheck

MAX_STATES = 400_000


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of a check: states explored, and whether each property holds."""

    states: int
    properties: dict[str, bool]


def explore(initial, list_successors):
    """Return all reachable states and their transitions as pairs of indices.

    A state without successors gets a transition to itself.

    :param initial: the initial state; hashable.
    :param list_successors: a function of a state that yields its successors.
    :raises MemoryError: if there are more than MAX_STATES states.
    """
    indices = {initial: 0}
    states = [initial]
    transitions = []
    for state in states:
        successors = set(list_successors(state)) - {state}
        for successor in successors:
            if successor not in indices:
                if len(states) >= MAX_STATES:
                    raise MemoryError(f"over {MAX_STATES} states")
                indices[successor] = len(states)
                states.append(successor)
            transitions.append((indices[state], indices[successor]))
        if not successors:
            transitions.append((indices[state], indices[state]))
    return states, transitions


def find_trace(initial, list_successors, violates):
    """Return a shortest run to a state that violates a property, or an empty list.

    :param initial: the initial state.
    :param list_successors: a function of a state that yields its successors.
    :param violates: a function of a state that returns whether it is a violation.
    """
    parents = {initial: None}
    states = [initial]
    for state in states:
        if violates(state):
            trace = []
            while state is not None:
                trace.append(state)
                state = parents[state]
            return trace[::-1]
        for successor in list_successors(state):
            if successor not in parents:
                parents[successor] = state
                states.append(successor)
    return []


def check(initial, list_successors, label, properties):
    """Return the ``Verdict`` on a specification.

    :param initial: the initial state.
    :param list_successors: a function of a state that yields its successors.
    :param label: a function of a state that returns its atomic propositions.
    :param properties: CTL formulas by name.
    """
    states, transitions = explore(initial, list_successors)
    labels = {number: label(state) for number, state in enumerate(states)}
    kripke = Kripke(S=range(len(states)), S0=[0], R=transitions, L=labels)
    results = {
        name: 0 in modelcheck(kripke, formula) for name, formula in properties.items()
    }
    return Verdict(len(states), results)
