"""Admission at a target's own node: slots, a short fair queue, shedding.

Flows are pairs of workspace and traffic class. The queue serves them by virtual
finish time, so each gets its weighted share and none starves.
"""

from dataclasses import dataclass

QUEUE_PER_SLOT = 4
DRAIN_GAIN = 0.1
DEFAULT_SERVICE_TIME_S = 0.05
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 30.0


@dataclass(slots=True)
class Waiting:
    """Work in the queue."""

    work_id: str
    flow: tuple[str, str]
    weight: float
    finish: float
    deadline_s: float


class Admission:
    """Slots and queue of the own target; changed in place.

    :param slots: the number of requests that the target takes at a time.
    """

    def __init__(self, slots):
        self.slots = slots
        self.busy = 0
        self.queue = {}
        self.service_time_s = DEFAULT_SERVICE_TIME_S
        self._virtual = 0.0
        self._finish = {}

    @property
    def capacity(self):
        """The most pieces of work that may wait."""
        return self.slots * QUEUE_PER_SLOT

    def estimate_wait_s(self, ahead):
        """Return how long a queue with ``ahead`` pieces of work takes to drain."""
        return ahead * self.service_time_s / self.slots

    def get_retry_after_s(self):
        """Return when a caller should come back, from the queue's drain rate."""
        wait_s = self.estimate_wait_s(len(self.queue) + 1)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def offer(self, work_id, flow, weight, deadline_s):
        """Take work in; return ``run``, ``queued`` or ``shed``, and what was shed.

        :param work_id: the work.
        :param flow: workspace and traffic class.
        :param weight: the flow's weight.
        :param deadline_s: when the work is no longer worth running.
        :returns: a pair of the decision and the id of another piece of work that
            was shed to make room, or the empty string.
        """
        if self.busy < self.slots and not self.queue:
            self.busy += 1
            return "run", ""
        start = max(self._virtual, self._finish.get(flow, 0.0))
        item = Waiting(work_id, flow, weight, start + 1.0 / weight, deadline_s)
        shed = ""
        if len(self.queue) >= self.capacity:
            latest = max(self.queue.values(), key=lambda waiting: waiting.finish)
            if latest.finish <= item.finish:
                return "shed", ""
            del self.queue[latest.work_id]
            self._finish[latest.flow] -= 1.0 / latest.weight
            shed = latest.work_id
        self._finish[flow] = item.finish
        self.queue[work_id] = item
        return "queued", shed

    def take_next(self, now_s):
        """Give free slots to waiting work.

        :param now_s: the loop's time in seconds.
        :returns: ids to run, and ids whose deadline does not leave time to run.
        """
        run, expired = [], []
        while self.busy < self.slots and self.queue:
            item = min(self.queue.values(), key=lambda waiting: waiting.finish)
            del self.queue[item.work_id]
            self._virtual = max(self._virtual, item.finish - 1.0 / item.weight)
            if now_s >= item.deadline_s:
                expired.append(item.work_id)
                continue
            self.busy += 1
            run.append(item.work_id)
        if not self.queue:
            self._virtual = 0.0
            self._finish.clear()
        return run, expired

    def remove(self, work_id):
        """Take work out of the queue; return whether it was there."""
        return self.queue.pop(work_id, None) is not None

    def release(self, service_time_s):
        """Free a slot after ``service_time_s`` seconds of use."""
        self.busy = max(0, self.busy - 1)
        self.service_time_s += DRAIN_GAIN * (service_time_s - self.service_time_s)
