"""The retry budget: attempts beyond the first as a share of recent traffic."""

import math

BUDGET_SHARE = 0.1
HALF_LIFE_S = 10.0
FREE_RETRIES = 1.0


class RetryBudget:
    """Decaying counts of requests and extra attempts of one service.

    :param share: extra attempts allowed for each request.
    """

    def __init__(self, share=BUDGET_SHARE):
        self.share = share
        self.requests = 0.0
        self.extra = 0.0
        self._updated_s = None

    def _decay(self, now_s):
        if self._updated_s is not None:
            factor = math.exp2((self._updated_s - now_s) / HALF_LIFE_S)
            self.requests *= factor
            self.extra *= factor
        self._updated_s = now_s

    def note_request(self, now_s):
        """Count a request."""
        self._decay(now_s)
        self.requests += 1

    def spend(self, now_s, cost=1.0):
        """Take an extra attempt out of the budget; return whether there was one.

        :param cost: how many requests the attempt leads to.
        """
        self._decay(now_s)
        if self.extra + cost > FREE_RETRIES * cost + self.requests * self.share:
            return False
        self.extra += cost
        return True
