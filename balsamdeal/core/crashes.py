"""Requests that were running when targets crashed, and which of them are refused.

A request may crash each target that begins to run it, and its caller sends it again,
to any node. So nodes tell each other of each crash and what was running then. What ran
elsewhere to its end is cleared. What is left after the second or third crash is
refused for a while.
"""

from dataclasses import dataclass, replace

# A request is refused after this many crashes, for QUARANTINE_S: long enough for
# somebody to look into it.
MAX_CRASHES = 3
QUARANTINE_S = 600.0
# It is refused for this long after its second crash if nothing else that was running
# had been in a crash before. Targets are back within some seconds.
SHORT_QUARANTINE_S = 30.0
# Crashes at nearly the same time have one cause, which is none of the requests that
# were running, unless one began to run after the earlier crash.
SAME_CAUSE_S = 0.25
# A request that ran well this shortly before a crash did not cause it. Frequent
# requests run at most targets that crash for any reason.
RAN_WELL_BEFORE_S = 2.0
REPORT_TTL_S = 2 * QUARANTINE_S
# Bounds of memory: reports, runs of a report, and requests that have run well.
MAX_REPORTS = 500
MAX_RUNS = 128
MAX_GOOD_RUNS = 4096
# Reason of a refusal.
CRASHES_TARGETS = "request crashes targets"
# Nodes tell each other of each crash for this long, and after that only of requests
# that were in more than one.
RECENT_S = 10.0
MAX_RELEVANT_REPORTS = 32


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that ended with its target, after ``ran_s`` seconds."""

    digest: str
    ran_s: float


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A crash of a target at ``at_s``, by the loop's time of the node that holds this.

    ``only_suspect`` is the digest of the one request in ``runs`` that had been in a
    crash before, or empty if there were none or several.
    """

    crash_id: str
    at_s: float
    runs: tuple[LostRun, ...]
    only_suspect: str = ""

    def find_run(self, digest):
        """Return the ``LostRun`` of a request, or None."""
        return next((run for run in self.runs if run.digest == digest), None)


class CrashTable:
    """Crashes that this node knows of, and requests that ran well; changed in place.

    ``cleared_s`` holds when requests that had been in a crash ran well, by digest.
    """

    def __init__(self):
        self.reports = {}
        self.cleared_s = {}
        self._crash_ids = {}
        self._ran_well_s = {}

    def record_run(self, digest, now_s):
        """Record that a target has answered a request that it ran."""
        self._ran_well_s.pop(digest, None)
        self._ran_well_s[digest] = now_s
        if len(self._ran_well_s) > MAX_GOOD_RUNS:
            del self._ran_well_s[next(iter(self._ran_well_s))]
        if digest in self._crash_ids:
            self.clear(digest, now_s)

    def clear(self, digest, at_s):
        """Forget the crashes of a request up to a time; return whether that is news."""
        if self.cleared_s.get(digest, at_s - 1) >= at_s:
            return False
        self.cleared_s[digest] = at_s
        crash_ids = self._crash_ids.get(digest, ())
        left = [item for item in crash_ids if self.reports[item].at_s > at_s]
        if left:
            self._crash_ids[digest] = left
        else:
            self._crash_ids.pop(digest, None)
        return True

    def merge(self, report, now_s):
        """Add what a report says; return whether any of it is new.

        :param report: a ``CrashReport``, which may name some of the runs only.
        """
        known = self.reports.get(report.crash_id)
        added = [
            run
            for run in report.runs[:MAX_RUNS]
            if known is None or known.find_run(run.digest) is None
        ]
        if known is not None and not added:
            return False
        if known is None:
            self._drop_old(now_s)
            known = replace(report, runs=())
        runs = (*known.runs, *added)[:MAX_RUNS]
        only_suspect = known.only_suspect or report.only_suspect
        self.reports[known.crash_id] = replace(
            known, runs=runs, only_suspect=only_suspect
        )
        for run in added:
            ran_well_s = self._ran_well_s.get(run.digest)
            if ran_well_s is not None and ran_well_s > known.at_s - RAN_WELL_BEFORE_S:
                self.clear(run.digest, max(ran_well_s, known.at_s))
            elif self.cleared_s.get(run.digest, known.at_s - 1) < known.at_s:
                self._crash_ids.setdefault(run.digest, []).append(known.crash_id)
        return True

    def _drop_old(self, now_s):
        expired = [
            crash_id
            for crash_id, report in self.reports.items()
            if now_s - report.at_s > REPORT_TTL_S
        ]
        excess = len(self.reports) - len(expired) - MAX_REPORTS + 1
        if excess > 0:
            kept = [item for item in self.reports if item not in expired]
            expired += kept[:excess]
        for crash_id in expired:
            for run in self.reports.pop(crash_id).runs:
                self._drop_crash_id(run.digest, crash_id)
        for digest, at_s in list(self.cleared_s.items()):
            if now_s - at_s > REPORT_TTL_S:
                del self.cleared_s[digest]

    def _drop_crash_id(self, digest, crash_id):
        left = [item for item in self._crash_ids.get(digest, ()) if item != crash_id]
        if left:
            self._crash_ids[digest] = left
        else:
            self._crash_ids.pop(digest, None)

    def list_crashes(self, digest):
        """Return the reports that count against a request, the oldest first."""
        crash_ids = self._crash_ids.get(digest)
        if not crash_ids:
            return []
        reports = [self.reports[item] for item in crash_ids]
        counted = []
        for report in sorted(reports, key=lambda item: item.at_s):
            if counted:
                before_s = counted[-1].at_s
                began_s = report.at_s - report.find_run(digest).ran_s
                if began_s < before_s and report.at_s - before_s < SAME_CAUSE_S:
                    continue
            counted.append(report)
        return counted

    def count(self, digest):
        """Return how many crashes count against a request."""
        return len(self.list_crashes(digest))

    def find_quarantine_s(self, digest, now_s):
        """Return for how many seconds a request is refused, 0 if it is not."""
        crashes = self.list_crashes(digest)
        if len(crashes) >= MAX_CRASHES:
            quarantine_s = QUARANTINE_S
        elif len(crashes) == 2 and crashes[-1].only_suspect == digest:
            quarantine_s = SHORT_QUARANTINE_S
        else:
            return 0.0
        return max(0.0, crashes[-1].at_s + quarantine_s - now_s)

    def list_evidence(self, digest):
        """Return the reports against a request, each with its run of it alone."""
        return tuple(
            replace(report, runs=(report.find_run(digest),))
            for report in self.list_crashes(digest)
        )

    def list_relevant(self, now_s):
        """Return the reports that other nodes should have, with runs that count.

        These are recent ones, and those of requests that were in several crashes.
        """
        relevant = []
        for report in reversed(self.reports.values()):
            fewest = 1 if now_s - report.at_s < RECENT_S else 2
            runs = tuple(run for run in report.runs if self.count(run.digest) >= fewest)
            if runs:
                relevant.append(replace(report, runs=runs))
            if len(relevant) == MAX_RELEVANT_REPORTS:
                break
        return relevant

    def list_cleared(self, now_s):
        """Return pairs of digest and time of what was cleared recently."""
        return [
            (digest, at_s)
            for digest, at_s in self.cleared_s.items()
            if now_s - at_s < RECENT_S
        ]
