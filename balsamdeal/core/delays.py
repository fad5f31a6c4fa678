"""Estimates how long the answers of a peer take, to tell slow from lost ones."""

# Weights of a new sample, and the deviations added to the mean, as in RFC 6298.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 4
# A peer whose answers take longer is as good as lost.
MAX_DELAY_S = 2.0


class DelayEstimator:
    """Smoothed delay of answers and its variation; changed in place."""

    def __init__(self):
        self._mean_s = None
        self._deviation_s = 0.0

    def record(self, delay_s):
        """Record how long an answer took.

        :param delay_s: the time in seconds, without what the peer was asked to wait.
        """
        if self._mean_s is None:
            self._mean_s, self._deviation_s = delay_s, delay_s / 2
            return
        error_s = delay_s - self._mean_s
        self._deviation_s += DEVIATION_GAIN * (abs(error_s) - self._deviation_s)
        self._mean_s += MEAN_GAIN * error_s

    def get_bound_s(self):
        """Return the time within which an answer is expected, in seconds."""
        if self._mean_s is None:
            return 0.0
        return min(MAX_DELAY_S, self._mean_s + DEVIATIONS * self._deviation_s)
