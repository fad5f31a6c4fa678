"""What targets have said of themselves in answers that this node has received."""

from dataclasses import replace

from balsamdeal.core.request_events import NO_NOTICE, LimitReport

# Notices of targets that are no longer listed are kept for this long: an entry may be
# missing for a while and then come back.
UNLISTED_TTL_S = 120.0


class NoticeTable:
    """The last ``TargetNotice`` by identity of a target; changed in place.

    A target that is leaving does not come back: only a restart, which has another
    identity, ends that. ``leaving`` holds the identities of those.
    """

    def __init__(self):
        self.leaving = set()
        self._notices = {}
        self._recorded_s = {}
        self._limited_since_s = {}

    def get(self, identity):
        """Return the ``TargetNotice`` of a target."""
        return self._notices.get(identity, NO_NOTICE)

    def record(self, identity, notice, now_s):
        """Record the notice in an answer; return whether anything has changed.

        :param identity: the target's ``identity`` when the request was sent.
        :param notice: the ``TargetNotice``.
        :param now_s: the loop's time in seconds.
        """
        known = self.get(identity)
        if notice.has_limit and notice.requests_per_s is None:
            notice = replace(notice, requests_per_s=known.requests_per_s)
        if known.leaving and not notice.leaving:
            notice = replace(notice, leaving=True)
        if notice == known:
            return False
        self._notices[identity] = notice
        self._recorded_s[identity] = now_s
        if notice.leaving:
            self.leaving.add(identity)
        if notice.requests_per_s is None:
            self._limited_since_s.pop(identity, None)
        else:
            self._limited_since_s.setdefault(identity, now_s)
        return True

    def report_limit(self, identity, now_s):
        """Return the ``LimitReport`` of a target, or None if it has no limit."""
        per_s = self.get(identity).requests_per_s
        if per_s is None:
            return None
        return LimitReport(per_s, now_s - self._limited_since_s[identity])

    def drop_unlisted(self, listed, now_s):
        """Drop the notices of targets that have been unlisted for long.

        :param listed: the identities of all listed targets.
        """
        for identity in [item for item in self._notices if item not in listed]:
            if now_s - self._recorded_s[identity] > UNLISTED_TTL_S:
                del self._notices[identity]
                del self._recorded_s[identity]
                self.leaving.discard(identity)
                self._limited_since_s.pop(identity, None)
