"""Tasks of a shell: kept until they end, their failures logged and counted."""

import logging

logger = logging.getLogger(__name__)


class Tasks:
    """Running tasks.

    :param loop: the event loop.
    :param count: a function that counts failures by name.
    """

    def __init__(self, loop, count):
        self._loop = loop
        self._count = count
        self._running = set()

    def spawn(self, coroutine):
        """Run a coroutine as a task that is kept until it ends."""
        task = self._loop.create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._end)

    def cancel(self):
        """Cancel all tasks."""
        for task in self._running:
            task.cancel()

    def _end(self, task):
        self._running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("task failed", exc_info=task.exception())
            self._count("task_errors")
