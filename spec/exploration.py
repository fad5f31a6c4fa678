"""Explores a specification's states and checks CTL properties on them.

States come from a breadth-first search; pyModelChecking checks the formulas. Every
step of the specifications uses something up, so that no run is endless but one that
stays in a last state: eventualities then need no fairness.
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
    """Return all reachable states and their transitions.

    :param initial: the initial state; hashable.
    :param list_successors: a function of a state.
    """
    numbers = {initial: 0}
    states = [initial]
    transitions = []
    for state in states:
        successors = set(list_successors(state)) - {state}
        for successor in successors:
            if successor not in numbers:
                if len(states) >= MAX_STATES:
                    raise MemoryError(f"over {MAX_STATES} states")
                numbers[successor] = len(states)
                states.append(successor)
            transitions.append((numbers[state], numbers[successor]))
        if not successors:
            transitions.append((numbers[state], numbers[state]))
    return states, transitions


def find_trace(initial, list_successors, is_wrong):
    """Return a shortest run to a wrong state, or an empty list.

    :param initial: the initial state.
    :param list_successors: a function of a state.
    :param is_wrong: a function of a state.
    """
    parents = {initial: None}
    states = [initial]
    for state in states:
        if is_wrong(state):
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
    :param list_successors: a function of a state.
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
