"""Specification of keyed work: two homes for one key, in views that differ.

Node 0 ranks first for the key but has just joined; node 1 ranked first before. An
ingress with the old VM list sends the key to node 1, one with the new list to
node 0. The caller sends the key twice, through either, and asks once what became of
it. Nodes crash and return without memory. Each guard can be taken out by name.
"""

from dataclasses import dataclass, replace

from pyModelChecking.CTL import AF, AG, EF, Not

from spec.exploration import check, find_trace

GUARDS = (
    "clear",
    "bar",
    "covers",
    "lost",
    "recheck",
    "rank",
    "never",
    "newer-list",
    "sent-before",
    "asker",
    "refused",
)
NONE, CLEARING, RUNNING, DONE = "none", "clearing", "running", "done"
BARRED, NEVER, SHED = "barred", "never", "shed"
ABSENT, UNSURE = "absent", "unsure"
PENDING, ANSWERED, UNKNOWN, REFUSED = "pending", "answered", "unknown", "refused"
CALLS = (0, 1)
MAX_MOVES = 2
PROPERTIES = {
    "at most once": AG(Not("ran twice")),
    "not run is true": AG(Not("lied")),
    "every call is answered": AF("all answered"),
    "can be answered": EF("all answered whole"),
}
CALM_PROPERTIES = {"answered whole without faults": AF("all answered whole")}


@dataclass(frozen=True, slots=True)
class State:
    """A state; tuples are by node or by call.

    ``works`` are (call, node, moves) under way, ``inquiries`` nodes that wait for
    the other's word, ``words`` pairs of such a node and the word under way to it.
    ``sent_before`` says that the key was in use before node 0 heard that node 1
    holds the new list. ``told`` are the calls that had been sent when a caller heard
    "not run"; ``lied`` that the key had run by then, or ran for such a call alone.
    """

    memory: tuple = (NONE, NONE)
    alive: tuple = (True, True)
    fresh: tuple = (False, False)
    listed: bool = False
    acknowledged: bool = False
    sent_before: bool = False
    calls: tuple = ("new", "new")
    waiting: tuple = (frozenset(), frozenset())
    works: frozenset = frozenset()
    inquiries: frozenset = frozenset()
    words: frozenset = frozenset()
    runs: int = 0
    asked: str = "no"
    told: frozenset = frozenset()
    lied: bool = False
    crashes: int = 1
    sheds: int = 1
    patient: bool = False


def put(values, index, value):
    """Return a tuple with one value replaced."""
    return values[:index] + (value,) + values[index + 1 :]


def settle(state, calls, answer):
    """Return the state after calls that still wait got their answer."""
    now = state.calls
    for call in calls:
        if now[call] == PENDING:
            now = put(now, call, answer)
    return replace(state, calls=now)


def tell_not_run(state):
    """Return the state after a caller heard that the key has not run."""
    sent = {call for call in CALLS if state.calls[call] != "new"}
    lied = state.lied or state.runs > 0
    return replace(state, told=state.told | sent, lied=lied)


def move_waiting(state, node, moves):
    """Send the calls that wait at a node on to the other node."""
    works = state.works
    result = replace(state, waiting=put(state.waiting, node, frozenset()))
    for call in state.waiting[node]:
        if moves >= MAX_MOVES:
            result = settle(result, [call], UNKNOWN)
        else:
            works = works | {(call, 1 - node, moves + 1)}
    return replace(result, works=works)


def end_waiting(state, node, answer):
    """Answer the calls that wait at a node."""
    waiting = state.waiting[node]
    result = replace(state, waiting=put(state.waiting, node, frozenset()))
    return settle(result, waiting, answer)


def run(state, node):
    """Return the state after a node handed the key to its target."""
    memory = put(state.memory, node, RUNNING)
    lied = state.lied or bool(state.told) and state.waiting[node] <= state.told
    return replace(state, memory=memory, runs=min(2, state.runs + 1), lied=lied)


def shed(state, node):
    """Return the state after a node refused proved work for want of room."""
    told = tell_not_run(replace(state, memory=put(state.memory, node, SHED), sheds=0))
    return end_waiting(told, node, REFUSED)


def receive(state, work, guards):
    """A node receives work under the key."""
    call, node, moves = work
    state = replace(state, works=state.works - {work})
    if not state.alive[node]:
        if moves >= MAX_MOVES:
            return settle(state, [call], UNKNOWN)
        return replace(state, works=state.works | {(call, 1 - node, moves + 1)})
    memory = state.memory[node]
    waiting = put(state.waiting, node, state.waiting[node] | {call})
    if memory == DONE:
        return settle(state, [call], ANSWERED)
    if memory == NEVER:
        return settle(state, [call], UNKNOWN)
    if memory == SHED and call in state.told and "refused" in guards:
        return settle(state, [call], REFUSED)
    if memory == BARRED:
        return move_waiting(replace(state, waiting=waiting), node, moves)
    state = replace(state, waiting=waiting)
    if memory in (CLEARING, RUNNING):
        return state
    if state.fresh[node] and "covers" in guards:
        return end_waiting(state, node, UNKNOWN)
    sent_before = state.sent_before and "sent-before" in guards
    must_ask = state.listed if node == 1 else not state.acknowledged or sent_before
    if not must_ask or "clear" not in guards:
        return run(state, node)
    return replace(
        state,
        memory=put(state.memory, node, CLEARING),
        inquiries=state.inquiries | {node},
    )


def answer_inquiry(state, node, asker, guards):
    """Return the state and the word of a node that is asked about the key."""
    if not state.alive[node]:
        return state, UNSURE if "lost" in guards else ABSENT
    memory = state.memory[node]
    question = asker is None
    barred = NEVER if question else BARRED
    if memory in (RUNNING, DONE):
        return state, memory
    if memory == SHED and not question and "refused" in guards:
        return state, RUNNING
    if memory == CLEARING and node == 0 and not question and "rank" in guards:
        return state, RUNNING
    if memory in (NONE, CLEARING, SHED) and "bar" in guards:
        state = replace(state, memory=put(state.memory, node, barred))
    if state.fresh[node] and "covers" in guards:
        return state, UNSURE
    if memory == NEVER and "never" in guards:
        return state, NEVER
    if memory == BARRED and question and "asker" in guards:
        return state, BARRED
    return state, ABSENT


def conclude(state, node, word, guards):
    """A node concludes from the other's word whether the key may run."""
    state = replace(state, words=state.words - {(node, word)})
    memory = state.memory[node]
    if not state.alive[node] or memory in (NONE, RUNNING, DONE):
        return state
    if memory == BARRED and "recheck" in guards:
        return move_waiting(state, node, 1)
    if memory == NEVER and "recheck" in guards:
        return end_waiting(state, node, UNKNOWN)
    if word in (RUNNING, DONE):
        barred = replace(state, memory=put(state.memory, node, BARRED))
        return move_waiting(barred, node, 1)
    if word == NEVER:
        never = replace(state, memory=put(state.memory, node, NEVER))
        return end_waiting(never, node, UNKNOWN)
    if word == UNSURE:
        forgotten = replace(state, memory=put(state.memory, node, NONE))
        return end_waiting(forgotten, node, UNKNOWN)
    return run(state, node)


def list_successors(state, guards):
    """Yield the states that one step leads to."""
    for successor in list_steps(state, guards):
        yield successor
        started = [
            node
            for node in (0, 1)
            if successor.memory[node] == RUNNING != state.memory[node]
        ]
        if started and state.sheds:
            # The same step, but the node's queue is full.
            unrun = replace(successor, runs=state.runs, lied=state.lied)
            yield shed(unrun, started[0])


def list_steps(state, guards):
    """Yield the states that one step without shedding leads to."""
    for call in CALLS:
        if state.calls[call] == "new" and (call == 0 or state.calls[0] != "new"):
            sent = replace(state, calls=put(state.calls, call, PENDING))
            for home in (0, 1):
                yield replace(sent, works=state.works | {(call, home, 0)})
    for work in state.works:
        yield receive(state, work, guards)
        if not state.patient:
            yield settle(state, [work[0]], UNKNOWN)
    for node in state.inquiries:
        left = replace(state, inquiries=state.inquiries - {node})
        other, word = answer_inquiry(left, 1 - node, node, guards)
        yield replace(other, words=other.words | {(node, word)})
    for node, word in state.words:
        yield conclude(state, node, word, guards)
    for node in (0, 1):
        if state.memory[node] == RUNNING:
            done = replace(state, memory=put(state.memory, node, DONE))
            yield end_waiting(done, node, ANSWERED)
        if not state.alive[node]:
            yield replace(state, alive=put(state.alive, node, True))
        if state.crashes:
            yield crash(state, node)
    if not state.listed:
        yield replace(state, listed=True)
    if state.listed and not state.acknowledged and state.alive == (True, True):
        sent_before = state.calls != ("new", "new") or state.asked != "no"
        yield replace(state, acknowledged=True, sent_before=sent_before)
    yield from ask(state, guards)


def crash(state, node):
    """A node dies with its memory; calls that waited there hear unknown."""
    result = end_waiting(state, node, UNKNOWN)
    return replace(
        result,
        memory=put(state.memory, node, NONE),
        alive=put(state.alive, node, False),
        fresh=put(state.fresh, node, True),
        inquiries=state.inquiries - {node},
        words=frozenset(pair for pair in state.words if pair[0] != node),
        crashes=0,
    )


def ask(state, guards):
    """A caller asks what became of the key, by an old VM list or the new one."""
    if state.asked == "no":
        yield replace(state, asked="old list")
        yield replace(state, asked="new list")
    if state.asked in ("old list", "new list"):
        newer = state.listed and state.asked == "old list" and "newer-list" in guards
        after, word = answer_inquiry(state, 1, None, guards)
        if state.asked == "old list":
            yield tell(after, [word, UNSURE if newer else ABSENT])
        else:
            yield replace(after, asked=f"heard {word}")
    if state.asked.startswith("heard "):
        after, word = answer_inquiry(state, 0, None, guards)
        earlier = state.asked.removeprefix("heard ")
        # Node 0 barred the key at node 1, and has now spoken for itself.
        yield tell(after, [word, ABSENT if earlier == BARRED else earlier])


def tell(state, words):
    """Tell the asking caller that the key has not run, if that is proved."""
    proved = all(word in (ABSENT, NEVER) for word in words)
    result = replace(state, asked="told")
    if not proved:
        return result
    # Whoever asks sends no further copy after the word that it has not run.
    return replace(tell_not_run(result), told=frozenset(CALLS))


def label(state):
    """Return the atomic propositions that hold in a state."""
    result = set()
    if state.runs > 1:
        result.add("ran twice")
    if state.lied:
        result.add("lied")
    if all(call in (ANSWERED, UNKNOWN, REFUSED) for call in state.calls):
        result.add("all answered")
    if state.calls == (ANSWERED, ANSWERED):
        result.add("all answered whole")
    return result


CALM = State(crashes=0, sheds=0, asked="told", patient=True)


def check_requests(removed=""):
    """Return the ``Verdict`` on the protocol, or on it without one guard."""
    guards = frozenset(GUARDS) - {removed}
    return check(
        State(), lambda state: list_successors(state, guards), label, PROPERTIES
    )


def check_calm_requests(removed=""):
    """Return the ``Verdict`` for runs without faults, timeouts and questions."""
    guards = frozenset(GUARDS) - {removed}
    return check(
        CALM, lambda state: list_successors(state, guards), label, CALM_PROPERTIES
    )


def find_violation(removed=""):
    """Return a shortest run to a broken safety property, or an empty list."""
    guards = frozenset(GUARDS) - {removed}
    return find_trace(
        State(),
        lambda state: list_successors(state, guards),
        lambda state: state.runs > 1 or state.lied,
    )
