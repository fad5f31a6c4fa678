"""Specification of requests with an idempotency key while VM lists differ.

Node 0 ranks first for the key but has just joined; node 1 ranked first before. An
ingress with the old VM list sends the key to node 1, one with the new list to
node 0. The caller sends the key twice, through either ingress, and queries its
outcome once. Nodes crash and restart without their records of keys. Each guard can
be removed by name.
"""

from dataclasses import dataclass, replace

from pyModelChecking.CTL import AF, AG, EF, Not

from spec.exploration import check, find_trace

GUARDS = (
    "clear",  # a node inquires at the other one before it runs the key
    "bar",  # an inquiry or status query bars the key where it hasn't run
    "covers",  # a restarted node doesn't vouch for keys it may have lost
    "lost",  # a dead node's missing reply isn't taken as "absent"
    "recheck",  # the inquirer checks whether it was barred before the reply came
    "rank",  # if both nodes inquire at each other, the one that ranks first goes on
    "never",  # a bar set by a status query is reported to an inquirer
    "newer-list",  # a node with a newer VM list than the query's proves nothing
    "sent-before",  # node 0 inquires if the key was used before the acknowledgement
    "asker",  # a bar set by an inquiry is reported to a status query
    "refused",  # a shed key is refused again, and an inquirer may not run it
)
NONE, CLEARING, RUNNING, DONE = "none", "clearing", "running", "done"
BARRED, NEVER, SHED = "barred", "never", "shed"
ABSENT, UNSURE = "absent", "unsure"
PENDING, ANSWERED, UNKNOWN, REFUSED = "pending", "answered", "unknown", "refused"
CALLS = (0, 1)
MAX_HOPS = 2
PROPERTIES = {
    "at most once": AG(Not("ran twice")),
    "not-run answers are true": AG(Not("lied")),
    "every call is answered": AF("all answered"),
    "a result can reach every call": EF("all answered with results"),
}
NO_FAULT_PROPERTIES = {
    "every call gets a result without faults": AF("all answered with results")
}


@dataclass(frozen=True, slots=True)
class State:
    """A state of both nodes, the messages in flight and the fault budgets.

    Tuples are indexed by node or by call.

    - ``key_state``: each node's record of the key.
    - ``restarted``: whether a node has crashed and so lost its records.
    - ``list_updated``: node 1 has received the new VM list.
    - ``acknowledged``: node 0 has received node 1's acknowledgement of that list.
    - ``sent_before``: the key was in use before this acknowledgement.
    - ``waiting``: the calls that wait at each node.
    - ``requests``: requests in flight, as (call, node, hops).
    - ``inquiries``: nodes whose inquiry is in flight to the other node.
    - ``replies``: inquiry replies in flight, as (inquiring node, reply).
    - ``query``: progress of the caller's status query.
    - ``reported``: the calls sent before a caller received "not run".
    - ``misreported``: the key had run by then, or later ran for such calls alone.
    - ``crashes``, ``sheds``: how many of these faults may still happen.
    - ``waits_forever``: callers have no timeout.
    """

    key_state: tuple = (NONE, NONE)
    alive: tuple = (True, True)
    restarted: tuple = (False, False)
    list_updated: bool = False
    acknowledged: bool = False
    sent_before: bool = False
    calls: tuple = ("new", "new")
    waiting: tuple = (frozenset(), frozenset())
    requests: frozenset = frozenset()
    inquiries: frozenset = frozenset()
    replies: frozenset = frozenset()
    runs: int = 0
    query: str = "no"
    reported: frozenset = frozenset()
    misreported: bool = False
    crashes: int = 1
    sheds: int = 1
    waits_forever: bool = False


def replace_at(values, index, value):
    """Return a tuple with one value replaced."""
    return values[:index] + (value,) + values[index + 1 :]


def answer_calls(state, calls, answer):
    """Return the state after the pending ones of ``calls`` received an answer."""
    updated = state.calls
    for call in calls:
        if updated[call] == PENDING:
            updated = replace_at(updated, call, answer)
    return replace(state, calls=updated)


def report_not_run(state):
    """Return the state after a caller received "not run" for the key."""
    sent = {call for call in CALLS if state.calls[call] != "new"}
    misreported = state.misreported or state.runs > 0
    return replace(state, reported=state.reported | sent, misreported=misreported)


def forward_waiting(state, node, hops):
    """Forward the calls that wait at a node to the other node.

    Calls that have used up MAX_HOPS are answered "unknown".
    """
    requests = state.requests
    result = replace(state, waiting=replace_at(state.waiting, node, frozenset()))
    for call in state.waiting[node]:
        if hops >= MAX_HOPS:
            result = answer_calls(result, [call], UNKNOWN)
        else:
            requests = requests | {(call, 1 - node, hops + 1)}
    return replace(result, requests=requests)


def answer_waiting(state, node, answer):
    """Answer the calls that wait at a node."""
    waiting = state.waiting[node]
    result = replace(state, waiting=replace_at(state.waiting, node, frozenset()))
    return answer_calls(result, waiting, answer)


def run(state, node):
    """Return the state after a node sent the key's request to its target."""
    key_state = replace_at(state.key_state, node, RUNNING)
    misreported = (
        state.misreported
        or bool(state.reported)
        and state.waiting[node] <= state.reported
    )
    return replace(
        state, key_state=key_state, runs=min(2, state.runs + 1), misreported=misreported
    )


def shed(state, node):
    """Return the state after a node with a full queue refused a key proved not run."""
    reported = report_not_run(
        replace(state, key_state=replace_at(state.key_state, node, SHED), sheds=0)
    )
    return answer_waiting(reported, node, REFUSED)


def receive(state, request, guards):
    """Return the state after a node received a request with the key."""
    call, node, hops = request
    state = replace(state, requests=state.requests - {request})
    if not state.alive[node]:
        if hops >= MAX_HOPS:
            return answer_calls(state, [call], UNKNOWN)
        return replace(state, requests=state.requests | {(call, 1 - node, hops + 1)})
    key_state = state.key_state[node]
    waiting = replace_at(state.waiting, node, state.waiting[node] | {call})
    if key_state == DONE:
        return answer_calls(state, [call], ANSWERED)
    if key_state == NEVER:
        return answer_calls(state, [call], UNKNOWN)
    if key_state == SHED and call in state.reported and "refused" in guards:
        return answer_calls(state, [call], REFUSED)
    if key_state == BARRED:
        return forward_waiting(replace(state, waiting=waiting), node, hops)
    state = replace(state, waiting=waiting)
    if key_state in (CLEARING, RUNNING):
        return state
    if state.restarted[node] and "covers" in guards:
        return answer_waiting(state, node, UNKNOWN)
    sent_before = state.sent_before and "sent-before" in guards
    must_inquire = (
        state.list_updated if node == 1 else not state.acknowledged or sent_before
    )
    if not must_inquire or "clear" not in guards:
        return run(state, node)
    return replace(
        state,
        key_state=replace_at(state.key_state, node, CLEARING),
        inquiries=state.inquiries | {node},
    )


def answer_inquiry(state, node, inquirer, guards):
    """Return the state after an inquiry at a node, and the node's reply.

    :param node: the inquired node.
    :param inquirer: the inquiring node, or None for a caller's status query.
    """
    if not state.alive[node]:
        return state, UNSURE if "lost" in guards else ABSENT
    key_state = state.key_state[node]
    from_caller = inquirer is None
    barred_state = NEVER if from_caller else BARRED
    if key_state in (RUNNING, DONE):
        return state, key_state
    if key_state == SHED and not from_caller and "refused" in guards:
        return state, RUNNING
    if key_state == CLEARING and node == 0 and not from_caller and "rank" in guards:
        return state, RUNNING
    if key_state in (NONE, CLEARING, SHED) and "bar" in guards:
        state = replace(
            state, key_state=replace_at(state.key_state, node, barred_state)
        )
    if state.restarted[node] and "covers" in guards:
        return state, UNSURE
    if key_state == NEVER and "never" in guards:
        return state, NEVER
    if key_state == BARRED and from_caller and "asker" in guards:
        return state, BARRED
    return state, ABSENT


def handle_reply(state, node, reply, guards):
    """Return the state after a node received the reply to its inquiry.

    It runs the key, or answers or forwards the calls that wait for it.
    """
    state = replace(state, replies=state.replies - {(node, reply)})
    key_state = state.key_state[node]
    if not state.alive[node] or key_state in (NONE, RUNNING, DONE):
        return state
    if key_state == BARRED and "recheck" in guards:
        return forward_waiting(state, node, 1)
    if key_state == NEVER and "recheck" in guards:
        return answer_waiting(state, node, UNKNOWN)
    if reply in (RUNNING, DONE):
        barred_state = replace(
            state, key_state=replace_at(state.key_state, node, BARRED)
        )
        return forward_waiting(barred_state, node, 1)
    if reply == NEVER:
        never = replace(state, key_state=replace_at(state.key_state, node, NEVER))
        return answer_waiting(never, node, UNKNOWN)
    if reply == UNSURE:
        forgotten = replace(state, key_state=replace_at(state.key_state, node, NONE))
        return answer_waiting(forgotten, node, UNKNOWN)
    return run(state, node)


def list_successors(state, guards):
    """Yield the states that one step leads to."""
    for successor in list_steps(state, guards):
        yield successor
        started = [
            node
            for node in (0, 1)
            if successor.key_state[node] == RUNNING != state.key_state[node]
        ]
        if started and state.sheds:
            # The same step with a full queue at the node.
            without_run = replace(
                successor, runs=state.runs, misreported=state.misreported
            )
            yield shed(without_run, started[0])


def list_steps(state, guards):
    """Yield the states that one step without shedding leads to."""
    for call in CALLS:
        if state.calls[call] == "new" and (call == 0 or state.calls[0] != "new"):
            sent = replace(state, calls=replace_at(state.calls, call, PENDING))
            for owner in (0, 1):
                yield replace(sent, requests=state.requests | {(call, owner, 0)})
    for request in state.requests:
        yield receive(state, request, guards)
        if not state.waits_forever:
            yield answer_calls(state, [request[0]], UNKNOWN)
    for node in state.inquiries:
        remaining = replace(state, inquiries=state.inquiries - {node})
        next_state, reply = answer_inquiry(remaining, 1 - node, node, guards)
        yield replace(next_state, replies=next_state.replies | {(node, reply)})
    for node, reply in state.replies:
        yield handle_reply(state, node, reply, guards)
    for node in (0, 1):
        if state.key_state[node] == RUNNING:
            done = replace(state, key_state=replace_at(state.key_state, node, DONE))
            yield answer_waiting(done, node, ANSWERED)
        if not state.alive[node]:
            yield replace(state, alive=replace_at(state.alive, node, True))
        if state.crashes:
            yield crash(state, node)
    if not state.list_updated:
        yield replace(state, list_updated=True)
    if state.list_updated and not state.acknowledged and state.alive == (True, True):
        sent_before = state.calls != ("new", "new") or state.query != "no"
        yield replace(state, acknowledged=True, sent_before=sent_before)
    yield from query_status(state, guards)


def crash(state, node):
    """Return the state after a crash: the node loses its records of keys.

    Calls that waited there are answered "unknown".
    """
    result = answer_waiting(state, node, UNKNOWN)
    return replace(
        result,
        key_state=replace_at(state.key_state, node, NONE),
        alive=replace_at(state.alive, node, False),
        restarted=replace_at(state.restarted, node, True),
        inquiries=state.inquiries - {node},
        replies=frozenset(pair for pair in state.replies if pair[0] != node),
        crashes=0,
    )


def query_status(state, guards):
    """Yield the steps of a caller's status query, by the old VM list or the new one.

    By the old list only node 1 is inquired, by the new list node 1 and then node 0.
    """
    if state.query == "no":
        yield replace(state, query="old list")
        yield replace(state, query="new list")
    if state.query in ("old list", "new list"):
        list_outdated = (
            state.list_updated and state.query == "old list" and "newer-list" in guards
        )
        after, reply = answer_inquiry(state, 1, None, guards)
        if state.query == "old list":
            yield answer_query(after, [reply, UNSURE if list_outdated else ABSENT])
        else:
            yield replace(after, query=f"first reply {reply}")
    if state.query.startswith("first reply "):
        after, reply = answer_inquiry(state, 0, None, guards)
        first_reply = state.query.removeprefix("first reply ")
        # Node 0's inquiry barred the key at node 1, so node 0's own reply decides.
        yield answer_query(
            after, [reply, ABSENT if first_reply == BARRED else first_reply]
        )


def answer_query(state, replies):
    """Return the state after the status query ended: "not run" only if proved."""
    proved = all(reply in (ABSENT, NEVER) for reply in replies)
    result = replace(state, query="told")
    if not proved:
        return result
    # A caller that received "not run" to its query sends no further copy.
    return replace(report_not_run(result), reported=frozenset(CALLS))


def label(state):
    """Return the atomic propositions that hold in a state."""
    result = set()
    if state.runs > 1:
        result.add("ran twice")
    if state.misreported:
        result.add("lied")
    if all(call in (ANSWERED, UNKNOWN, REFUSED) for call in state.calls):
        result.add("all answered")
    if state.calls == (ANSWERED, ANSWERED):
        result.add("all answered with results")
    return result


NO_FAULTS = State(crashes=0, sheds=0, query="told", waits_forever=True)


def check_requests(removed=""):
    """Return the ``Verdict`` on the protocol, or on it without one guard.

    :param removed: the guard to remove, or the empty string.
    """
    guards = frozenset(GUARDS) - {removed}
    return check(
        State(), lambda state: list_successors(state, guards), label, PROPERTIES
    )


def check_calm_requests(removed=""):
    """Return the ``Verdict`` for runs without faults, timeouts and status queries.

    :param removed: the guard to remove, or the empty string.
    """
    guards = frozenset(GUARDS) - {removed}
    return check(
        NO_FAULTS,
        lambda state: list_successors(state, guards),
        label,
        NO_FAULT_PROPERTIES,
    )


def find_violation(removed=""):
    """Return a shortest run that violates a safety property, or an empty list.

    :param removed: the guard to remove, or the empty string.
    """
    guards = frozenset(GUARDS) - {removed}
    return find_trace(
        State(),
        lambda state: list_successors(state, guards),
        lambda state: state.runs > 1 or state.misreported,
    )
