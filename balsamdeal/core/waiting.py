"""Who waits and who is refused at a target's node.

Answers the pattern of a load above capacity for seconds or minutes. Work that the
target cannot begin in time is refused on arrival, when nothing has been spent on it,
with the time at which there will be room. Work that waits is ordered by rank, then
what can still be in time, then by the end of its objective.
"""

import heapq
import math
from dataclasses import dataclass, field

# A queue is left by work whose remaining time is below this share of a mean run.
HOPELESS_SHARE = 0.5
# A run may take this many times the mean: nine in ten of the users' runs do not.
TAIL_FACTOR = 1.5
# Work waits for at most this share of its remaining objective: in a burst, and in a
# load that lasts. A queue that never empties serves no more callers, it only makes all
# of them late. Found on the queueing fake, see docs/design/overload.md.
BURST_WAIT_SHARE = 0.5
STANDING_WAIT_SHARE = 0.08
# A queue that has not been empty for this long is a standing one, in seconds.
STANDING_S = 1.0
# When a caller is asked back that would not be in time anyway: callers honour up to a
# third of their time, which is about this long for the most frequent ones.
LATER_RETRY_S = 1.0
# A caller that has spent less than this share of its objective is at its first attempt.
FRESH_SHARE = 0.1
# Work that is more urgent than other work of the target waits for up to this share of
# its time though it will be late: targets that make calls of their own wait for them,
# and hold slots for that long.
URGENT_WAIT_SHARE = 0.6
# Work that is late already waits for at most this share of a run.
LATE_WAIT_SHARE = 0.1
# Work that was taken for a wait leaves the queue after this many times the longest wait
# that would have been taken: the target has become slow meanwhile.
PATIENCE_FACTOR = 2.0
# Weight of the newest run in the mean length of a run.
WORK_GAIN = 0.1
# Taken for the length of a run before one has ended.
DEFAULT_WORK_S = 0.15
# Shortest and longest time after which a refused caller is asked back.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0


@dataclass(slots=True)
class Waiter:
    """Work at a target's node; ``started_s`` is None while it waits.

    ``leave_s`` is when it leaves the queue if it still waits then.
    """

    event: object
    order: tuple
    deadline_s: float
    leave_s: float
    started_s: float | None = None


def _get_class(event):
    """Return what tells kinds of work apart: their rank and their objective."""
    return (event.rank, event.objective_s)


@dataclass(slots=True)
class Queue:
    """Running and waiting work of one target; changed in place.

    :param limit: how many run at a time.
    """

    limit: int
    running: dict = field(default_factory=dict)
    waiting: dict = field(default_factory=dict)
    work_s: float = 0.0
    class_work_s: dict = field(default_factory=dict)
    empty_s: float = -math.inf
    _started_sum_s: float = 0.0
    _heap: list = field(default_factory=list)
    _arrivals: int = 0

    def get_work_s(self):
        """Return the mean length of a run in seconds."""
        return self.work_s or DEFAULT_WORK_S

    def observe_work_s(self, now_s):
        """Return the mean length of a run, or the mean age of runs if that is larger.

        A target that has become slow ends nothing for a while, but its runs age.
        """
        if not self.running:
            return self.get_work_s()
        age_s = now_s - self._started_sum_s / len(self.running)
        return max(self.get_work_s(), age_s)

    def estimate_wait_s(self, ahead):
        """Return the wait of work that has ``ahead`` waiters before it."""
        if len(self.running) + ahead < self.limit:
            return 0.0
        return (ahead + 1) * self.get_work_s() / max(1, self.limit)

    def admit(self, event):
        """Run, queue or refuse work.

        :param event: ``WorkReceived``.
        :return: a pair: the ``Waiter``, or None where it is refused, and the time
            in seconds after which there will be room.
        """
        deadline_s = event.now_s + event.time_left_s
        waiter = Waiter(event, self._rate(event), deadline_s, deadline_s)
        if not self.waiting:
            self.empty_s = event.now_s
            if len(self.running) < self.limit:
                return waiter, 0.0
        ahead = sum(other.order <= waiter.order for other in self.waiting.values())
        wait_s = self.estimate_wait_s(ahead)
        patience_s = self._get_patience_s(event)
        if wait_s > patience_s:
            return None, self.suggest_return_s(event)
        leave_s = event.now_s + PATIENCE_FACTOR * patience_s
        waiter.leave_s = min(deadline_s, leave_s)
        self._arrivals += 1
        self.waiting[event.work_id] = waiter
        heapq.heappush(self._heap, (waiter.order, self._arrivals, event.work_id))
        return waiter, wait_s

    def _get_class_work_s(self, event):
        """Return the length of a run of work of this kind at this target now."""
        usual_s = self.get_work_s()
        known_s = self.class_work_s.get(_get_class(event), usual_s)
        # Slower than usual by this factor, if its runs are ageing.
        slowdown = self.observe_work_s(event.now_s) / usual_s
        return known_s * slowdown

    def _rate(self, event):
        """Return the order of work: rank, then what can be in time, then urgency."""
        late = event.objective_left_s < self._get_class_work_s(event)
        return (event.rank, late, event.now_s + event.objective_left_s)

    def _get_patience_s(self, event):
        """Return the longest wait that still serves the caller."""
        work_s = self._get_class_work_s(event)
        in_time_s = event.objective_left_s - TAIL_FACTOR * work_s
        late_s = event.time_left_s - 2 * work_s
        last_rank = max(self.class_work_s, default=(event.rank,))[0]
        if event.rank < last_rank:
            return min(late_s, URGENT_WAIT_SHARE * event.time_left_s)
        if in_time_s > 0:
            standing = self._is_standing(event.now_s)
            share = STANDING_WAIT_SHARE if standing else BURST_WAIT_SHARE
            return min(in_time_s, share * event.objective_left_s)
        # Its objective has passed: it may wait for a run within its time.
        return min(late_s, LATE_WAIT_SHARE * work_s)

    def _is_standing(self, now_s):
        return now_s - self.empty_s > STANDING_S

    def suggest_return_s(self, event):
        """Return when there will be room for one more, in seconds.

        A caller that is refused for the first time in a burst may still be in time if
        it is quick. One that was refused before, or meets a standing queue, does
        better to wait for its end than to spend its last attempt on it.
        """
        spent_s = event.objective_s - event.objective_left_s
        fresh = spent_s < FRESH_SHARE * event.objective_s
        if not fresh or self._is_standing(event.now_s):
            return LATER_RETRY_S
        wait_s = self.estimate_wait_s(len(self.waiting)) + self.get_work_s() / 2
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def start(self, waiter, now_s):
        """Count work as running."""
        waiter.started_s = now_s
        self.running[waiter.event.work_id] = waiter
        self._started_sum_s += now_s

    def end(self, work_id, now_s, measured):
        """Count running work out; return its ``Waiter`` or None.

        :param measured: whether its length tells how long a run takes.
        """
        waiter = self.running.pop(work_id, None)
        if waiter is not None:
            self._started_sum_s -= waiter.started_s
        if not self.running:
            self._started_sum_s = 0.0  # drops what rounding has left
        if waiter is not None and measured:
            length_s = now_s - waiter.started_s
            kind = _get_class(waiter.event)
            known_s = self.class_work_s.get(kind, length_s)
            self.class_work_s[kind] = known_s + WORK_GAIN * (length_s - known_s)
            known_s = self.work_s or length_s
            self.work_s = known_s + WORK_GAIN * (length_s - known_s)
        return waiter

    def leave(self, work_id):
        """Take waiting work out; return its ``Waiter`` or None."""
        return self.waiting.pop(work_id, None)

    def take_next(self, now_s):
        """Return the next waiter to run, or None, and those given up on the way."""
        hopeless = []
        while self._heap and len(self.running) < self.limit:
            _, _, work_id = heapq.heappop(self._heap)
            waiter = self.waiting.pop(work_id, None)
            if waiter is None:
                continue
            if waiter.deadline_s - now_s < HOPELESS_SHARE * self.get_work_s():
                hopeless.append(waiter)
                continue
            return waiter, hopeless
        return None, hopeless

    def is_idle(self):
        """Return whether nothing runs or waits."""
        return not self.running and not self.waiting

    def set_limit(self, limit):
        """Change how many run at a time."""
        self.limit = max(1, math.floor(limit))
