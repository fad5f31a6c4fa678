"""How long callers have been trying, told from the time that they still give."""

# Values after which the counts of a usual one are halved, so that it can change.
USUAL_WINDOW = 200


class UsualValue:
    """The most frequent one of the values that were seen lately."""

    def __init__(self):
        self.value = 0.0
        self._counts = {}
        self._total = 0

    def note(self, value):
        """Count a value."""
        self._counts[value] = count = self._counts.get(value, 0) + 1
        if count > self._counts.get(self.value, 0):
            self.value = value
        self._total += 1
        if self._total >= USUAL_WINDOW:
            halved = {item: n // 2 for item, n in self._counts.items() if n > 1}
            self._counts = halved
            self._total = sum(halved.values())


class Patience:
    """The usual time that callers give at their first attempt, by route."""

    def __init__(self):
        self._usual = {}

    def estimate_spent_s(self, route, time_left_s):
        """Return how long a caller has been trying, in seconds.

        Most callers of a route give the same time at their first attempt, so one that
        gives less has spent the difference. A few may be more patient than the rest.

        :param route: the ``HostRoute``.
        :param time_left_s: the time that it gives now, or None.
        """
        if time_left_s is None:
            return 0.0
        usual = self._usual.get(route.name)
        if usual is None:
            usual = self._usual[route.name] = UsualValue()
        usual.note(time_left_s)
        return max(0.0, usual.value - time_left_s)
