"""Admission control and the work queue at a target's node.

Handles load above capacity for seconds or minutes. Work that the target cannot begin
in time is refused on arrival, before any resources are spent on it, with the time
until there will be room. Queued work is ordered by rank, then by whether it can still
meet its objective, then by the end of its objective.
"""

import heapq
import math
from dataclasses import dataclass, field

from balsamdeal.core.link_queue import LinkQueue
from balsamdeal.core.rate_limit import RateLimit
from balsamdeal.core.request_events import LinkReport

# Queued work is refused instead of started if its remaining time is below this share
# of a mean run.
MIN_TIME_LEFT_SHARE = 0.5
# Upper estimate of a run's length as a multiple of the mean: nine in ten of the users'
# runs are shorter.
TAIL_FACTOR = 1.5
# Longest wait as a share of the remaining objective, in a burst and under lasting
# overload. A queue that never empties serves no additional callers, it only makes all
# of them late. See docs/design/overload.md.
BURST_WAIT_SHARE = 0.5
STANDING_WAIT_SHARE = 0.08
# A queue that has not been empty for this long is a standing queue.
STANDING_AFTER_S = 1.0
# Retry delay for callers that would miss their objective anyway. Callers honour delays
# of up to a third of their timeout, which is about this long for the most frequent
# ones.
LATE_RETRY_AFTER_S = 1.0
# A caller that has used less than this share of its objective makes its first attempt.
FIRST_ATTEMPT_SHARE = 0.1
# Work that is more urgent than the target's other work waits for up to this share of
# its remaining time, even if it then misses its objective: targets that make calls of
# their own hold a slot until these calls are answered.
URGENT_WAIT_SHARE = 0.6
# Work that can no longer meet its objective waits for at most this share of a run.
LATE_WAIT_SHARE = 0.1
# Queued work is refused after this multiple of the longest wait that admission allowed
# for it: the target has become slow in the meantime.
QUEUE_TIMEOUT_FACTOR = 2.0
# Answers that wait for the VM's link take this much memory at most, about a third of
# what small VMs have left beside a node.
MAX_WAITING_BYTES = 25_165_824
# Weight of the newest answer in the moving means of run lengths and answer sizes.
WORK_GAIN = 0.1
# Assumed length of a run until one has ended.
DEFAULT_WORK_S = 0.15
# Bounds of the retry delay after a refusal.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0


@dataclass(slots=True)
class WorkItem:
    """Work at a target's node; times are the loop's, in seconds.

    ``event`` is the ``WorkReceived``, ``order`` the sort key in the queue. If the work
    still waits at ``queue_deadline_s``, it is refused. ``started_s`` and ``identity``,
    that of the target, are None while it waits.
    """

    event: object
    order: tuple
    deadline_s: float
    queue_deadline_s: float
    started_s: float | None = None
    identity: tuple | None = None


def _get_class_key(event):
    """Return the key under which run lengths are averaged: rank and objective."""
    return (event.rank, event.objective_s)


@dataclass(slots=True)
class WorkQueue:
    """Running and waiting work of one target; its methods change it in place.

    ``running`` and ``waiting`` hold each ``WorkItem`` by its work ID. ``work_s`` is the
    moving mean of run lengths, 0 before the first run has ended; ``work_s_by_class``
    holds that of each rank and objective, ``answer_bytes_by_class`` their mean answer
    sizes. ``last_empty_s`` is the last arrival, by the loop's time in seconds, that
    found no work waiting.

    :param limit: the number of concurrent runs.
    :param rate_limit: the ``RateLimit`` of starts.
    :param link: the ``LinkQueue`` of the VM's own link.
    """

    limit: int
    rate_limit: RateLimit
    link: LinkQueue = field(default_factory=lambda: LinkQueue(None))
    running: dict = field(default_factory=dict)
    waiting: dict = field(default_factory=dict)
    work_s: float = 0.0
    work_s_by_class: dict = field(default_factory=dict)
    answer_bytes_by_class: dict = field(default_factory=dict)
    _large_bytes_by_class: dict = field(default_factory=dict)
    last_empty_s: float = -math.inf
    _started_sum_s: float = 0.0
    _heap: list = field(default_factory=list)
    _arrivals: int = 0

    def get_mean_work_s(self):
        """Return the mean length of a run in seconds."""
        return self.work_s or DEFAULT_WORK_S

    def estimate_work_s(self, now_s):
        """Return the mean run length, or the mean age of current runs if it is larger.

        A target that has become slow finishes no runs for a while, so only the age of
        its current runs shows it.
        """
        if not self.running:
            return self.get_mean_work_s()
        age_s = now_s - self._started_sum_s / len(self.running)
        return max(self.get_mean_work_s(), age_s)

    def estimate_wait_s(self, ahead, now_s):
        """Return the expected wait in seconds of work behind ``ahead`` others."""
        wait_s = self.rate_limit.get_delay_s(now_s, ahead)
        if len(self.running) + ahead < self.limit:
            return wait_s
        return max(wait_s, (ahead + 1) * self.get_mean_work_s() / max(1, self.limit))

    def can_start(self, now_s):
        """Return whether a slot is free and the rate limit allows a start."""
        if len(self.running) >= self.limit:
            return False
        return self.rate_limit.get_delay_s(now_s) <= 0

    def find_next_start_s(self, now_s):
        """Return when waiting work may start, or None if it waits for a slot."""
        if not self.waiting or len(self.running) >= self.limit:
            return None
        return now_s + self.rate_limit.get_delay_s(now_s)

    def admit(self, event):
        """Decide whether work starts now, waits or is refused.

        Work that waits is queued here; work that can start is left to ``start``.

        :param event: ``WorkReceived``.
        :return: the ``WorkItem`` and its expected wait in seconds, or, if the work is
            refused, None and the time in seconds after which there will be room.
        """
        deadline_s = event.now_s + event.time_left_s
        item = WorkItem(event, self._make_order(event), deadline_s, deadline_s)
        if not self.waiting:
            self.last_empty_s = event.now_s
            if self.can_start(event.now_s) and not self._is_link_full(event):
                return item, 0.0
        ahead = sum(other.order <= item.order for other in self.waiting.values())
        wait_s = self.estimate_wait_s(ahead, event.now_s)
        max_wait_s = self._get_max_wait_s(event)
        if wait_s > max_wait_s or self._is_link_full(event):
            return None, self.suggest_retry_after_s(event)
        queue_deadline_s = event.now_s + QUEUE_TIMEOUT_FACTOR * max_wait_s
        item.queue_deadline_s = min(deadline_s, queue_deadline_s)
        self._arrivals += 1
        self.waiting[event.work_id] = item
        heapq.heappush(self._heap, (item.order, self._arrivals, event.work_id))
        return item, wait_s

    def record_answer(self, item, size):
        """Update the mean answer size of work like this.

        :param item: the ``WorkItem`` that has ended.
        :param size: the size of its answer in bytes.
        """
        class_key = _get_class_key(item.event)
        known = self.answer_bytes_by_class.get(class_key, size)
        mean = known + WORK_GAIN * (size - known)
        self.answer_bytes_by_class[class_key] = mean
        # Kept apart, as most targets have no large answers and each reply looks here.
        if self.link.is_large(mean):
            self._large_bytes_by_class[class_key] = mean
        else:
            self._large_bytes_by_class.pop(class_key, None)

    def _get_large_answer_bytes(self, event):
        """Return the expected size of an answer if it waits for the link, else 0."""
        if event.local or not self._large_bytes_by_class:
            return 0.0
        return self._large_bytes_by_class.get(_get_class_key(event), 0.0)

    def report_link(self, now_s):
        """Return the ``LinkReport``, or None if no large answer waits or is expected.

        Running work is expected to have an answer of the usual size.
        """
        if not self._large_bytes_by_class and self.link.is_idle():
            return None
        expected = sum(
            self._get_large_answer_bytes(item.event) for item in self.running.values()
        )
        if not expected and self.link.is_idle():
            return None
        wait_s = self.link.estimate_wait_s(now_s, expected)
        return LinkReport(wait_s, self.link.link_mbps)

    def _is_link_full(self, event):
        """Return whether the answer would wait for the link until its caller leaves.

        So it is if answers that wait take much memory. Others that will be late are no
        reason to refuse work: they go last on the link.
        """
        size = self._get_large_answer_bytes(event)
        if not size:
            return False
        if self.link.count_bytes() > MAX_WAITING_BYTES:
            return True
        report = self.report_link(event.now_s)
        work_s = self._estimate_class_work_s(event)
        left_s = event.time_left_s - 2 * work_s - self.link.estimate_transfer_s(size)
        wait_s = report.wait_s - work_s if report else 0.0
        return wait_s > max(0.0, left_s)

    def _estimate_class_work_s(self, event):
        """Return the expected run length of work of this rank and objective now."""
        usual_s = self.get_mean_work_s()
        known_s = self.work_s_by_class.get(_get_class_key(event), usual_s)
        # Above 1 if the current runs are older than the mean run length.
        slowdown = self.estimate_work_s(event.now_s) / usual_s
        return known_s * slowdown

    def _make_order(self, event):
        """Return the sort key: rank, misses its objective, end of its objective."""
        late = event.objective_left_s < self._estimate_class_work_s(event)
        return (event.rank, late, event.now_s + event.objective_left_s)

    def _get_max_wait_s(self, event):
        """Return the longest wait after which running the work still pays off."""
        work_s = self._estimate_class_work_s(event)
        in_time_s = event.objective_left_s - TAIL_FACTOR * work_s
        late_s = event.time_left_s - 2 * work_s
        last_rank = max(self.work_s_by_class, default=(event.rank,))[0]
        # Slots are free under a rate limit, so other targets probably have room.
        limited = self.rate_limit.per_s is not None
        if event.rank < last_rank:
            max_wait_s = min(late_s, URGENT_WAIT_SHARE * event.time_left_s)
            return min(max_wait_s, max(0.0, in_time_s)) if limited else max_wait_s
        if in_time_s > 0:
            standing = limited or self._is_standing(event.now_s)
            share = STANDING_WAIT_SHARE if standing else BURST_WAIT_SHARE
            return min(in_time_s, share * event.objective_left_s)
        # It will miss its objective, but a run may still end before its deadline.
        return min(late_s, LATE_WAIT_SHARE * work_s)

    def _is_standing(self, now_s):
        return now_s - self.last_empty_s > STANDING_AFTER_S

    def suggest_retry_after_s(self, event):
        """Return the time until there will be room for one more, in seconds.

        A caller that is refused for the first time in a burst can still meet its
        objective if it retries soon. One that was refused before, or that meets a
        standing queue, should rather wait until the overload has ended than use up
        its last attempt.
        """
        spent_s = event.objective_s - event.objective_left_s
        first_attempt = spent_s < FIRST_ATTEMPT_SHARE * event.objective_s
        if not first_attempt or self._is_standing(event.now_s):
            return LATE_RETRY_AFTER_S
        wait_s = self.estimate_wait_s(len(self.waiting), event.now_s)
        wait_s += self.get_mean_work_s() / 2
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def start(self, item, now_s):
        """Record the start of a run."""
        item.started_s = now_s
        self.running[item.event.work_id] = item
        self.rate_limit.record_start(now_s)
        self._started_sum_s += now_s

    def finish(self, work_id, now_s, measured):
        """Remove running work; return its ``WorkItem``, or None if it does not run.

        :param measured: whether its length counts for the mean run length.
        """
        item = self.running.pop(work_id, None)
        if item is not None:
            self._started_sum_s -= item.started_s
        if not self.running:
            self._started_sum_s = 0.0  # drops accumulated rounding errors
        if item is not None and measured:
            length_s = now_s - item.started_s
            class_key = _get_class_key(item.event)
            known_s = self.work_s_by_class.get(class_key, length_s)
            self.work_s_by_class[class_key] = known_s + WORK_GAIN * (length_s - known_s)
            known_s = self.work_s or length_s
            self.work_s = known_s + WORK_GAIN * (length_s - known_s)
        return item

    def remove_waiting(self, work_id):
        """Remove waiting work; return its ``WorkItem``, or None if it does not wait."""
        return self.waiting.pop(work_id, None)

    def take_next(self, now_s):
        """Remove the next work to run and all work before it that is nearly expired.

        :return: the ``WorkItem`` to run, or None, and a list of the nearly expired
            ones, which the caller refuses.
        """
        expiring = []
        while self._heap and self.can_start(now_s):
            _, _, work_id = heapq.heappop(self._heap)
            item = self.waiting.pop(work_id, None)
            if item is None:
                continue
            if item.deadline_s - now_s < MIN_TIME_LEFT_SHARE * self.get_mean_work_s():
                expiring.append(item)
                continue
            return item, expiring
        return None, expiring

    def is_idle(self):
        """Return whether no work runs or waits."""
        return not self.running and not self.waiting

    def set_limit(self, limit):
        """Set the number of concurrent runs; it is at least 1."""
        self.limit = max(1, math.floor(limit))
