"""Reads of the source: when to read, how to handle answers, how long to pause after.

A watcher has a watch open on each channel's key all the time. Other nodes probe the
source at random times, and only when no known node seems to be in contact with it.

While answers are late, reads may overlap: a version that is written just after one has
been served would wait for that answer and for the next one otherwise.
"""

import math
from dataclasses import dataclass, field

from balsamdeal.core import effects
from balsamdeal.core.delays import DelayEstimator
from balsamdeal.documents import CHANNELS, NO_VERSION, Version

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
# A whole version may take this many times as long as on an idle link.
TRANSFER_FACTOR = 1.2
# A read that is unanswered for this much longer than its wait is slow or lost. Where
# reads may overlap, the next one begins then.
OVERLAP_MARGIN_S = 0.25


@dataclass(frozen=True, slots=True)
class OpenRead:
    """A read without an answer so far.

    ``base`` is the version held when it began, and ``seen_revision`` the newest that
    the source had answered. ``is_pure_watch``: no read of a whole version can precede
    its wait.
    """

    begun_s: float
    base: Version
    seen_revision: int
    is_pure_watch: bool


@dataclass(slots=True)
class SourceState:
    """State of the reads of one channel; times are the loop's, in seconds.

    ``open_reads`` are by read id. ``transfer_s`` is how long a whole version takes over
    the own link, and ``answered_s`` when the source last answered. ``state`` is unread,
    current, stale or failing, and ``reason`` says why.
    """

    open_reads: dict[int, OpenRead] = field(default_factory=dict)
    answered_s: float = -math.inf
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
    :param max_open_reads: how many reads of a channel may overlap.
    """

    def __init__(
        self,
        random,
        fleet_size,
        watch_wait_s=WATCH_WAIT_S,
        backoff_max_s=BACKOFF_MAX_S,
        new_version_pause_s=0.0,
        max_open_reads=1,
    ):
        self._random = random
        self._start_spread_s = fleet_size / STARTS_PER_S
        self._watch_wait_s = watch_wait_s
        self._backoff_max_s = backoff_max_s
        self._new_version_pause_s = new_version_pause_s
        self._max_open_reads = max_open_reads
        self._delays = DelayEstimator()
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
        """Return whether an answer for a channel is overdue.

        Unless the read before it ended with an empty answer, a read may transfer a
        whole version first; half of the margin is added then.

        :param channel: the channel.
        :param margin_s: how much longer than its wait a watch may take, in seconds; or
            longer, if the source's answers take longer at present.
        :param now_s: the loop's time in seconds.
        """
        state = self.states[channel]
        if not state.open_reads or state.transfer_s is None:
            return False
        oldest_s = min(read.begun_s for read in state.open_reads.values())
        margin_s = max(margin_s, self._delays.get_bound_s())
        deadline_s = max(oldest_s, state.answered_s) + self._watch_wait_s + margin_s
        if not state.is_after_empty:
            deadline_s += TRANSFER_FACTOR * state.transfer_s - margin_s / 2
        return now_s > deadline_s

    def get_excess_delay_s(self):
        """Return how much longer than usual answers take at present, in seconds."""
        return max(0.0, self._delays.get_bound_s() - OVERLAP_MARGIN_S)

    def get_contact_age_s(self, now_s):
        """Return the seconds since a known node was in contact with the source.

        None if no contact is known.
        """
        return None if self._contact_s is None else max(0.0, now_s - self._contact_s)

    def begin_read(self, channel, version, is_reader, now_s, may_overlap=False):
        """Return the ``ReadSource`` that is due, or None.

        :param channel: the channel.
        :param version: the version in force.
        :param is_reader: whether this node is to read the source without a probe's
            conditions, as a watcher or one that needs a whole version.
        :param now_s: the loop's time in seconds.
        :param may_overlap: whether the read may begin while earlier ones are late.
        """
        state = self.states[channel]
        if now_s < state.next_read_s:
            return None
        if state.open_reads and not (may_overlap and self._are_late(state, now_s)):
            return None
        if not is_reader and not self._needs_probe(state, now_s):
            return None
        read_id = next(
            number
            for number in range(self._max_open_reads)
            if number not in state.open_reads
        )
        state.open_reads[read_id] = OpenRead(
            now_s, version, state.seen_revision, state.is_after_empty
        )
        if not is_reader or version == NO_VERSION:
            return effects.ReadSource(channel, 0, 0.0, read_id)
        after = max(version.revision, state.seen_revision)
        return effects.ReadSource(channel, after, self._watch_wait_s, read_id)

    def _are_late(self, state, now_s):
        """Return whether all open reads are late, and another one may begin."""
        if len(state.open_reads) >= self._max_open_reads:
            return False
        latest_s = max(read.begun_s for read in state.open_reads.values())
        margin_s = OVERLAP_MARGIN_S + TRANSFER_FACTOR * (state.transfer_s or 0.0)
        return now_s > latest_s + self._watch_wait_s + margin_s

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

    def get_open_read(self, channel, read_id):
        """Return an ``OpenRead``.

        :raises KeyError: if no read with this id is open.
        """
        return self.states[channel].open_reads[read_id]

    def handle_answer(self, event, version):
        """Return whether the answer is current, and its effects; plan the next read.

        :param event: the ``SourceAnswered``.
        :param version: the version that the answer must not be older than.
        """
        state = self.states[event.channel]
        read = self._close_read(state, event)
        took_s = event.now_s - read.begun_s
        state.answered_s = event.now_s
        state.failures = 0
        if event.transfer_s is not None:
            state.transfer_s = event.transfer_s
        state.is_after_empty = event.document is None
        self._record_delay(event, read, took_s)
        state.next_read_s = event.now_s
        if event.document is not None:
            # A slow answer has taken part of the pause already.
            pause_s = self._new_version_pause_s - self.get_excess_delay_s()
            state.next_read_s += max(0.0, pause_s)
        min_wait_s = min(EMPTY_PAUSE_S, self._watch_wait_s)
        if event.document is None and took_s < min_wait_s:
            # Watches that end early and empty must not become a busy loop.
            state.next_read_s = event.now_s + EMPTY_PAUSE_S
        if event.revision < max(version.revision, read.seen_revision):
            # A stale replica or a restored backup: never go back to an older version.
            state.next_read_s = event.now_s + STALE_PAUSE_S * self._random.uniform(1, 2)
            reason = f"revision {event.revision} is older than {version.revision}"
            return False, self._set_state(state, event.channel, "stale", reason)
        state.seen_revision = max(event.revision, state.seen_revision)
        self.record_contact(event.now_s)
        return True, self._set_state(state, event.channel, "current", "")

    @staticmethod
    def _close_read(state, event):
        """Return the open read that an event ends."""
        unknown = OpenRead(event.now_s, NO_VERSION, state.seen_revision, False)
        return state.open_reads.pop(event.read_id, unknown)

    def _record_delay(self, event, read, took_s):
        """Record how long the source took, if that can be told from its wait."""
        if event.document is None and read.is_pure_watch:
            self._delays.record(max(0.0, took_s - self._watch_wait_s))

    def handle_failure(self, event, starting):
        """Return the effects of a failed read, and plan the next one.

        :param event: the ``SourceFailed``.
        :param starting: whether many nodes may be starting at the same time.
        """
        state = self.states[event.channel]
        read = self._close_read(state, event)
        if state.answered_s > read.begun_s:
            # A single answer was lost: the source has answered another read since.
            return []
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
