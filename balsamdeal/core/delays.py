"""Estimates how long the answers of a peer take, to tell slow from lost ones."""

import math
from collections import deque

# The bound is this many times the longest of so many delays. A peer that is fast again
# is expected to stay so after as many answers.
RECENT_ANSWERS = 4
MARGIN_FACTOR = 2.0
# A peer whose answers take longer is as good as lost.
MAX_DELAY_S = 2.0


class DelayEstimator:
    """The delays of the latest answers; changed in place.

    ``recorded_s`` is when the last one came, by the loop's time in seconds.
    """

    def __init__(self):
        self._delays_s = deque(maxlen=RECENT_ANSWERS)
        self.recorded_s = -math.inf

    def record(self, delay_s, now_s=-math.inf):
        """Record how long an answer took.

        :param delay_s: the time in seconds, without what the peer was asked to wait.
        :param now_s: the loop's time in seconds, where ``recorded_s`` is used.
        """
        self._delays_s.append(delay_s)
        self.recorded_s = now_s

    def get_bound_s(self):
        """Return the time within which an answer is expected, in seconds."""
        return min(MAX_DELAY_S, MARGIN_FACTOR * max(self._delays_s, default=0.0))
