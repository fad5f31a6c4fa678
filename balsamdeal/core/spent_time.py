"""Estimates how long callers have been retrying from the time left that they send."""

# Counts are halved after this many values, so that the mode follows a change.
MODE_WINDOW = 200


class ModeTracker:
    """The most frequent of the values observed recently."""

    def __init__(self):
        self.value = 0.0
        self._counts = {}
        self._total = 0

    def observe(self, value):
        """Count a value."""
        self._counts[value] = count = self._counts.get(value, 0) + 1
        if count > self._counts.get(self.value, 0):
            self.value = value
        self._total += 1
        if self._total >= MODE_WINDOW:
            halved = {item: n // 2 for item, n in self._counts.items() if n > 1}
            self._counts = halved
            self._total = sum(halved.values())


class SpentTimeEstimator:
    """The most frequent time left that callers send, by route.

    Most calls are first attempts, so this is the time left of a first attempt.
    """

    def __init__(self):
        self._modes = {}

    def keep_routes(self, routes):
        """Drop the state of all routes but these."""
        for name in self._modes.keys() - {route.name for route in routes}:
            del self._modes[name]

    def estimate_spent_s(self, route, time_left_s):
        """Return how long a caller has been retrying, in seconds.

        Most callers of a route send the same time left with their first attempt, so a
        caller that sends less has spent the difference. The mode is used because a few
        callers may allow more time than the rest.

        :param route: the ``HostRoute``.
        :param time_left_s: the time left that the caller sent, in seconds, or None.
        """
        if time_left_s is None:
            return 0.0
        mode = self._modes.get(route.name)
        if mode is None:
            mode = self._modes[route.name] = ModeTracker()
        mode.observe(time_left_s)
        return max(0.0, mode.value - time_left_s)
