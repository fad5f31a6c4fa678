"""Background tasks: referenced until they end, their failures logged and counted."""

import logging

logger = logging.getLogger(__name__)


class Tasks:
    """The running tasks of a process.

    :param loop: the event loop.
    :param count: a function that increments the counter of a name.
    """

    def __init__(self, loop, count):
        self._loop = loop
        self._count = count
        self._running = set()

    def spawn(self, coroutine):
        """Run a coroutine as a task, and keep a reference to it until it ends."""
        task = self._loop.create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._handle_done)

    def cancel(self):
        """Cancel all tasks."""
        for task in self._running:
            task.cancel()

    def _handle_done(self, task):
        self._running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("background task failed", exc_info=task.exception())
            self._count("task_errors")
