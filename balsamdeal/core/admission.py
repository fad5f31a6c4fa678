"""Admission at the node of a target: slots, a short weighted fair queue, shedding.

A flow is a pair of workspace and traffic class. Work is served in the order of its
virtual finish time, so each flow gets its weighted share and none starves.
"""

from dataclasses import dataclass

QUEUE_PER_SLOT = 4
SERVICE_TIME_EWMA_WEIGHT = 0.1
DEFAULT_SERVICE_TIME_S = 0.05
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 30.0


@dataclass(slots=True)
class QueuedWork:
    """A piece of work in the queue.

    ``virtual_finish`` is in the queue's virtual time, ``deadline_s`` in the loop's time
    in seconds.
    """

    work_id: str
    flow: tuple[str, str]
    weight: float
    virtual_finish: float
    deadline_s: float


class Admission:
    """Slots and queue of this node's target; changed in place.

    :param slots: the number of requests that the target handles at a time.
    """

    def __init__(self, slots):
        self.slots = slots
        self.busy = 0
        self.queue = {}
        self.service_time_s = DEFAULT_SERVICE_TIME_S
        self._virtual_time = 0.0
        # By flow and weight: a finish time is in units of that weight.
        self._last_finish = {}

    @property
    def capacity(self):
        """The largest number of pieces of work that may be queued."""
        return self.slots * QUEUE_PER_SLOT

    def estimate_wait_s(self, ahead):
        """Return the seconds to drain a queue with ``ahead`` pieces of work."""
        return ahead * self.service_time_s / self.slots

    def get_retry_after_s(self):
        """Return the seconds until a caller should retry, by the queue's drain rate."""
        wait_s = self.estimate_wait_s(len(self.queue) + 1)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def offer(self, work_id, flow, weight, deadline_s):
        """Run, queue or shed a piece of work.

        :param work_id: the id of the work.
        :param flow: workspace and traffic class.
        :param weight: the flow's weight.
        :param deadline_s: the latest time at which the work may start, in the loop's
            time in seconds.
        :returns: a pair of the decision, ``run``, ``queued`` or ``shed``, and the id
            of other work that was shed to make room, or the empty string.
        """
        if self.busy < self.slots and not self.queue:
            self.busy += 1
            return "run", ""
        start = max(self._virtual_time, self._last_finish.get((flow, weight), 0.0))
        item = QueuedWork(work_id, flow, weight, start + 1.0 / weight, deadline_s)
        shed = ""
        if len(self.queue) >= self.capacity:
            latest = max(self.queue.values(), key=lambda queued: queued.virtual_finish)
            if latest.virtual_finish <= item.virtual_finish:
                return "shed", ""
            del self.queue[latest.work_id]
            self._last_finish[latest.flow, latest.weight] -= 1.0 / latest.weight
            shed = latest.work_id
        self._last_finish[flow, weight] = item.virtual_finish
        self.queue[work_id] = item
        return "queued", shed

    def take_next(self, now_s):
        """Assign free slots to queued work.

        :param now_s: the loop's time in seconds.
        :returns: the ids to run, and the ids dropped because their deadline passed.
        """
        run, expired = [], []
        while self.busy < self.slots and self.queue:
            item = min(self.queue.values(), key=lambda queued: queued.virtual_finish)
            del self.queue[item.work_id]
            self._virtual_time = max(
                self._virtual_time, item.virtual_finish - 1.0 / item.weight
            )
            if now_s >= item.deadline_s:
                expired.append(item.work_id)
                continue
            self.busy += 1
            run.append(item.work_id)
        if not self.queue:
            self._virtual_time = 0.0
            self._last_finish.clear()
        return run, expired

    def remove(self, work_id):
        """Remove work from the queue; return whether it was there."""
        return self.queue.pop(work_id, None) is not None

    def release(self, service_time_s):
        """Free a slot, and update the mean service time.

        :param service_time_s: how long the slot was used, in seconds.
        """
        self.busy = max(0, self.busy - 1)
        self.service_time_s += SERVICE_TIME_EWMA_WEIGHT * (
            service_time_s - self.service_time_s
        )
