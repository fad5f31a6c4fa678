"""The retry budget: attempts beyond the first as a share of recent traffic."""

import math
from collections import deque
from dataclasses import dataclass

BUDGET_SHARE = 0.1
# Operators bound extra attempts over any span of this length. A budget that remembers
# requests for longer than attempts would save up more than that.
WINDOW_S = 10.0
SLOT_S = 0.5
FREE_RETRIES = 1.0


@dataclass(slots=True)
class _Slot:
    """Counts of one slot of time."""

    number: int
    requests: float = 0.0
    extra: float = 0.0


class RetryBudget:
    """Requests and extra attempts of one service within a sliding window.

    :param share: extra attempts allowed for each request.
    """

    def __init__(self, share=BUDGET_SHARE):
        self.share = share
        self.requests = 0.0
        self.extra = 0.0
        self._slots = deque()

    def _open_slot(self, now_s):
        """Drop what is older than the window; return the slot of now."""
        number = math.floor(now_s / SLOT_S)
        slots = self._slots
        while slots and slots[0].number < number - WINDOW_S / SLOT_S:
            old = slots.popleft()
            self.requests -= old.requests
            self.extra -= old.extra
        if not slots or slots[-1].number != number:
            slots.append(_Slot(number))
        return slots[-1]

    def note_request(self, now_s):
        """Count a request."""
        self._open_slot(now_s).requests += 1
        self.requests += 1

    def spend(self, now_s, cost=1.0):
        """Take an extra attempt out of the budget; return whether there was one.

        :param cost: how many requests the attempt leads to.
        """
        slot = self._open_slot(now_s)
        if self.extra + cost > FREE_RETRIES * cost + self.requests * self.share:
            return False
        slot.extra += cost
        self.extra += cost
        return True
