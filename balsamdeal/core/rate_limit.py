"""The limit of requests that a target has named, enforced by the node in front of it.

All requests for a target pass through that node, so a limit that it keeps holds for
the whole fleet, however many nodes send requests, and needs no agreement among them.
"""

import math
from collections import deque

# Operators count a target's requests over any span of this length, and allow one and a
# half times what its limit allows.
WINDOW_S = 4.0
# Share of a limit that is used in the span in which it comes into force. The rest
# covers the burst and the requests that are already on their way.
FIRST_WINDOW_SHARE = 1.15
# A start may come this much before its turn, so that requests that arrive together
# need not wait for each other.
BURST_S = 0.25
# Operators expect a limit to hold this long after a target has first named it, where
# their settings do not say otherwise.
DEFAULT_SETTLE_S = 3.0
# Rate for targets that accept fewer requests: only answers tell when a limit ends.
MIN_PER_S = 0.5
# A limit ends when an answer lacks it, but not sooner than this after the last answer
# that named it, as answers may overtake each other.
KEEP_S = 1.0


class RateLimit:
    """The limit in force and the time of the next start; changed in place.

    ``per_s`` is the limit in requests per second, or None. Times are the loop's, in
    seconds. The process counts as started at its first request.

    :param settle_s: the time after which operators expect a new limit to hold.
    """

    def __init__(self, settle_s):
        self.settle_s = settle_s
        self.per_s = None
        self._last_named_s = -math.inf
        self._last_unnamed_s = -math.inf
        self._answered = False
        # When the next start is due at a steady rate. Those before it may be early.
        self._due_s = -math.inf
        self._starts = deque()
        self._started_s = None
        self._reported_since_s = math.inf

    def record_start(self, now_s):
        """Count a request that is passed on to the target."""
        if self._started_s is None:
            self._started_s = now_s
        self._starts.append(now_s)
        self._drop_old_starts(now_s)
        if self.per_s is not None:
            self._due_s = max(self._due_s, now_s) + 1 / self.per_s

    def _drop_old_starts(self, now_s):
        while self._starts and self._starts[0] <= now_s - WINDOW_S:
            self._starts.popleft()

    def record_answer(self, notice, ran, now_s):
        """Update the limit from an answer; return whether it has changed.

        :param notice: the ``TargetNotice`` in the answer.
        :param ran: whether the target ran the request. Other answers may lack the
            limit while it is in force.
        """
        if notice.has_limit:
            self._answered = True
            self._last_named_s = now_s
            if notice.requests_per_s is None:
                return False
            return self._set(notice.requests_per_s, now_s)
        if not ran:
            return False
        self._answered = True
        self._last_unnamed_s = now_s
        if self.per_s is None or now_s - self._last_named_s < KEEP_S:
            return False
        self.per_s = None
        self._due_s = -math.inf
        return True

    def record_report(self, report, now_s):
        """Use the limit that another node reports to a process that has just started.

        The process does not know what its predecessor has sent. If the limit is new,
        that may have been too much, so nothing is sent until the first span in which
        operators check the limit has passed. The oldest of the reports is the closest
        to when the target named the limit; answers of the target replace its value.

        :param report: the ``LimitReport``.
        """
        if self._started_s is None:
            self._started_s = now_s
        if now_s - self._started_s > WINDOW_S:
            return
        since_s = now_s - report.age_s
        self._reported_since_s = min(self._reported_since_s, since_s)
        if not self._answered:
            self.per_s = max(MIN_PER_S, report.per_s)

    def _set(self, per_s, now_s):
        per_s = max(MIN_PER_S, per_s)
        known, self.per_s = self.per_s, per_s
        if known is None or per_s < known:
            pause_s = self._compute_pause_s(now_s)
            self._due_s = max(self._due_s, now_s + pause_s)
        return known != per_s

    def _compute_pause_s(self, now_s):
        """Return how long no request may start, after too many before the limit.

        The first span in which operators check the limit begins before it was named.
        The target may have named it right after the last answer without it, which may
        be long ago if this node has been suspended.
        """
        left_s = max(0.0, self._last_unnamed_s + self.settle_s - now_s)
        from_s = now_s + left_s - WINDOW_S
        started = sum(at_s > from_s for at_s in self._starts)
        allowed = FIRST_WINDOW_SHARE * WINDOW_S * self.per_s
        excess = started + left_s * self.per_s - allowed
        return min(WINDOW_S, max(0.0, excess / self.per_s))

    def get_delay_s(self, now_s, ahead=0):
        """Return the seconds until a request may start behind ``ahead`` others."""
        if self.per_s is None:
            return 0.0
        due_s = self._due_s - BURST_S
        if self._reported_since_s < math.inf:
            due_s = max(due_s, self._reported_since_s + WINDOW_S)
        return max(0.0, due_s + ahead / self.per_s - now_s)

    def get_excess(self, now_s):
        """Return by how many requests the target has had more than its limit allows."""
        return 0.0 if self.per_s is None else self.get_delay_s(now_s) * self.per_s

    def limit_runs(self, runs, work_s):
        """Return the concurrent runs that the limit leaves of a number of them.

        :param runs: the number of concurrent runs without a limit.
        :param work_s: the mean length of a run in seconds.
        """
        if self.per_s is None:
            return runs
        return min(runs, max(1, round(self.per_s * work_s)))
