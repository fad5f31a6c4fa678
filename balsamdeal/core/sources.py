"""Reads of the source: when to read, how to handle answers, how long to pause after.

A watcher has a watch open on each channel's key all the time. Other nodes probe the
source at random times, and only when no known node seems to be in contact with it.
"""

from dataclasses import dataclass

from balsamdeal.core import effects
from balsamdeal.documents import CHANNELS, NO_VERSION

WATCH_WAIT_S = 2.0
# First reads of a starting fleet are spread so that this many nodes begin per second.
STARTS_PER_S = 40.0
# Pauses after failed first reads are up to this many times as long as that spread.
START_RETRY_FACTOR = 4.0
# Other nodes than watchers probe the source after this time without a known contact,
# each at a random time within the interval.
AGE_BOUND_S = 10.0
PROBE_INTERVAL_S = 30.0
BACKOFF_BASE_S = 0.5
BACKOFF_MAX_S = 3.0
STALE_PAUSE_S = 1.0
EMPTY_PAUSE_S = 1.0
# A whole version may take this many times as long as the last one did.
TRANSFER_FACTOR = 1.2


@dataclass(slots=True)
class SourceState:
    """State of the reads of one channel; times are the loop's, in seconds.

    ``transfer_s`` is how long the last whole version took. ``state`` is unread,
    current, stale or failing, and ``reason`` says why.
    """

    pending: bool = False
    read_s: float = 0.0
    next_read_s: float = 0.0
    failures: int = 0
    seen_revision: int = 0
    is_after_empty: bool = False
    transfer_s: float | None = None
    state: str = "unread"
    reason: str = ""


class Sources:
    """State of the reads of all channels; changed in place.

    :param random: the seeded generator of the reducer.
    :param fleet_size: the expected number of nodes; first reads are spread in
        proportion to it.
    :param watch_wait_s: how long the source may hold a watch, in seconds.
    :param backoff_max_s: the longest pause after a failure, in seconds; on average
        half of it passes.
    :param new_version_pause_s: the pause after a new version, in seconds, so that a
        burst of versions takes few reads.
    """

    def __init__(
        self,
        random,
        fleet_size,
        watch_wait_s=WATCH_WAIT_S,
        backoff_max_s=BACKOFF_MAX_S,
        new_version_pause_s=0.0,
    ):
        self._random = random
        self._start_spread_s = fleet_size / STARTS_PER_S
        self._watch_wait_s = watch_wait_s
        self._backoff_max_s = backoff_max_s
        self._new_version_pause_s = new_version_pause_s
        self._contact_s = None
        self.states = {channel: SourceState() for channel in CHANNELS}

    def spread_start(self, now_s):
        """Draw the random times of the first reads."""
        for state in self.states.values():
            state.next_read_s = now_s + self._random.random() * self._start_spread_s

    def record_contact(self, contact_s):
        """Record that this or another node was in contact with the source.

        :param contact_s: the time of the contact, on this loop's clock in seconds.
        """
        if self._contact_s is None or contact_s > self._contact_s:
            self._contact_s = contact_s

    def set_max_backoff(self, backoff_max_s):
        """Set the longest pause after a failure, in seconds."""
        self._backoff_max_s = backoff_max_s

    def schedule_read(self, channel, now_s):
        """Let the next read of a channel's key begin at ``now_s``.

        This replaces the time planned so far. The end of a read in progress replaces
        it in turn.
        """
        self.states[channel].next_read_s = now_s

    def is_failing(self, channel):
        """Return whether the last read of a channel failed."""
        return self.states[channel].failures > 0

    def is_overdue(self, channel, margin_s, now_s):
        """Return whether the current read of a channel is overdue.

        Unless the read before it ended with an empty answer, it may transfer a whole
        version first, which takes about as long as the last one did; half of the margin
        is added then.

        :param channel: the channel.
        :param margin_s: how much longer than its wait a watch may take, in seconds.
        :param now_s: the loop's time in seconds.
        """
        state = self.states[channel]
        if not state.pending or state.transfer_s is None:
            return False
        deadline_s = state.read_s + self._watch_wait_s + margin_s
        if not state.is_after_empty:
            deadline_s += TRANSFER_FACTOR * state.transfer_s - margin_s / 2
        return now_s > deadline_s

    def get_contact_age_s(self, now_s):
        """Return the seconds since a known node was in contact with the source.

        None if no contact is known.
        """
        return None if self._contact_s is None else max(0.0, now_s - self._contact_s)

    def begin_read(self, channel, version, is_reader, now_s):
        """Return the ``ReadSource`` that is due, or None.

        :param channel: the channel.
        :param version: the version in force.
        :param is_reader: whether this node is to read the source without a probe's
            conditions, as a watcher or one that needs a whole version.
        :param now_s: the loop's time in seconds.
        """
        state = self.states[channel]
        if state.pending or now_s < state.next_read_s:
            return None
        if not is_reader and not self._needs_probe(state, now_s):
            return None
        state.pending = True
        state.read_s = now_s
        if not is_reader or version == NO_VERSION:
            return effects.ReadSource(channel, 0, 0.0)
        after = max(version.revision, state.seen_revision)
        return effects.ReadSource(channel, after, self._watch_wait_s)

    def _needs_probe(self, state, now_s):
        """Return whether to probe the source, as no node seems in contact with it.

        The time is drawn at random, so that few of many nodes probe; the first answer
        spreads to the others and keeps them from probing.
        """
        age_s = self.get_contact_age_s(now_s)
        if age_s is not None and age_s < AGE_BOUND_S:
            return False
        if now_s - state.next_read_s > 1.0:
            state.next_read_s = now_s + self._random.random() * PROBE_INTERVAL_S
            return False
        return True

    def handle_answer(self, event, version):
        """Return whether the answer is current, and its effects; plan the next read.

        :param event: the ``SourceAnswered``.
        :param version: the version that the answer must not be older than.
        """
        state = self.states[event.channel]
        state.pending = False
        state.failures = 0
        if event.document is not None and not state.is_after_empty:
            state.transfer_s = event.now_s - state.read_s
        state.is_after_empty = event.document is None
        state.next_read_s = event.now_s
        if event.document is not None:
            state.next_read_s += self._new_version_pause_s
        min_wait_s = min(EMPTY_PAUSE_S, self._watch_wait_s)
        if event.document is None and event.now_s - state.read_s < min_wait_s:
            # Watches that end early and empty must not become a busy loop.
            state.next_read_s = event.now_s + EMPTY_PAUSE_S
        if event.revision < max(version.revision, state.seen_revision):
            # A stale replica or a restored backup: never go back to an older version.
            state.next_read_s = event.now_s + STALE_PAUSE_S * self._random.uniform(1, 2)
            reason = f"revision {event.revision} is older than {version.revision}"
            return False, self._set_state(state, event.channel, "stale", reason)
        state.seen_revision = event.revision
        self.record_contact(event.now_s)
        return True, self._set_state(state, event.channel, "current", "")

    def handle_failure(self, event, starting):
        """Return the effects of a failed read, and plan the next one.

        :param event: the ``SourceFailed``.
        :param starting: whether many nodes may be starting at the same time.
        """
        state = self.states[event.channel]
        state.pending = False
        state.failures += 1
        state.is_after_empty = False
        max_pause_s = min(
            self._backoff_max_s, BACKOFF_BASE_S * 2 ** min(state.failures, 8)
        )
        if starting:
            max_pause_s = max(max_pause_s, START_RETRY_FACTOR * self._start_spread_s)
        state.next_read_s = event.now_s + self._random.random() * max_pause_s
        reason = f"step={event.step}: {event.reason}"
        return self._set_state(state, event.channel, "failing", reason)

    @staticmethod
    def _set_state(state, channel, name, reason):
        state.reason = reason
        if state.state == name:
            return []
        state.state = name
        fields = {"channel": channel, "state": name, "reason": reason}
        return [effects.ReportChange("source", fields)]
