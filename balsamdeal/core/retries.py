"""The retry budget: limits retries to a share of recent requests."""

import math
from collections import deque
from dataclasses import dataclass

DEFAULT_SHARE = 0.1
# Operators limit retries over any span of this length. Requests and retries are counted
# over the same window: a longer one for requests would let a budget accumulate and
# exceed that limit.
WINDOW_S = 10.0
BUCKET_S = 0.5
# Retries allowed beyond the share, so that a service with few requests can retry.
FREE_RETRIES = 1.0


@dataclass(slots=True)
class _Bucket:
    """Counts of one interval of ``BUCKET_S``; ``extra`` is the cost of its retries."""

    number: int
    requests: float = 0.0
    extra: float = 0.0


class RetryBudget:
    """Requests and retries of one service in the last ``WINDOW_S`` seconds.

    :param share: retries allowed per request.
    """

    def __init__(self, share=DEFAULT_SHARE):
        self.share = share
        self.requests = 0.0
        self.extra = 0.0
        self._buckets = deque()

    def _open_bucket(self, now_s):
        """Drop buckets older than the window; return the bucket of ``now_s``."""
        number = math.floor(now_s / BUCKET_S)
        buckets = self._buckets
        while buckets and buckets[0].number < number - WINDOW_S / BUCKET_S:
            old = buckets.popleft()
            self.requests -= old.requests
            self.extra -= old.extra
        if not buckets or buckets[-1].number != number:
            buckets.append(_Bucket(number))
        return buckets[-1]

    def record_request(self, now_s):
        """Count a request."""
        self._open_bucket(now_s).requests += 1
        self.requests += 1

    def spend(self, now_s, cost=1.0):
        """Charge a retry to the budget; return False if the budget does not allow it.

        :param cost: how many requests the retry leads to.
        """
        bucket = self._open_bucket(now_s)
        if self.extra + cost > FREE_RETRIES * cost + self.requests * self.share:
            return False
        bucket.extra += cost
        self.extra += cost
        return True
