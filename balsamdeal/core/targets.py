"""The list of targets: which exist, where they run, which are leaving.

The source of the list may return stale data, has outages, and loses entries during
them. A target that is missing after an outage is kept until it has had time to be
listed again; one that is removed while the source is available is dropped at once.
"""

from dataclasses import dataclass, replace

from balsamdeal.core.notices import NoticeTable

# How long a target may be missing after an outage of the source: running targets are
# listed again within two seconds of its end.
RELIST_GRACE_S = 2.2


@dataclass(frozen=True, slots=True)
class Target:
    """One process of a server; a restart is another target.

    ``instance`` is its name; ``born_ms`` is its start in Unix milliseconds, which
    distinguishes restarts under one name, or None. ``node_address`` is the node in
    front of it. ``revision`` is the source's revision of the entry's last change.
    """

    instance: str
    born_ms: int | None
    service: str
    address: str
    node_address: str
    failure_domain: str
    slots: int
    leaving: bool
    revision: int

    @property
    def identity(self):
        """The name and start time, which differ after a restart."""
        return (self.instance, self.born_ms)


class TargetList:
    """Targets by the name of their entry at the source; changed in place.

    ``services`` is an index by service. ``removed_revisions`` holds the revisions at
    which entries were removed, so that stale data does not restore them. ``missing``
    holds, for entries that are missing after an outage, the time at which they are
    dropped. ``changed_s`` is the loop's time of the last change, in seconds.
    ``notices`` holds what targets have said of themselves in answers.
    """

    def __init__(self):
        self.targets = {}
        self.services = {}
        self.removed_revisions = {}
        self.missing = {}
        self.revision = 0
        self.changed_s = None
        self.notices = NoticeTable()

    def apply_listing(self, entries, revision, after_outage, now_s):
        """Apply a full list.

        :param entries: pairs of entry name and ``Target``; None for an invalid entry.
        :param revision: the source's revision when the read of the list began.
        :param after_outage: whether the source had an outage since the last update.
        :param now_s: the loop's time in seconds.
        :return: whether anything changed, removal of invalid entries included.
        """
        listed = dict(entries)
        changed = False
        for name, target in listed.items():
            changed |= self._put(name, target)
        for name in [name for name in self.targets if name not in listed]:
            if self.targets[name].revision > revision:
                continue
            if after_outage:
                self.missing.setdefault(name, now_s + RELIST_GRACE_S)
            else:
                changed |= self._remove(name, revision)
        self.revision = max(self.revision, revision)
        return self._rebuild_index(changed, now_s)

    def apply_changes(self, changes, revision, now_s):
        """Apply changes in the order of the source.

        :param changes: triples of entry name, ``Target`` or None, and revision; None
            stands for a removed or invalid entry.
        :param revision: the source's revision after them.
        :param now_s: the loop's time in seconds.
        :return: whether anything changed.
        """
        changed = False
        for name, target, change_revision in changes:
            if target is None:
                changed |= self._remove(name, change_revision)
            else:
                changed |= self._put(name, target)
        self.revision = max(self.revision, revision)
        return self._rebuild_index(changed, now_s)

    def expire_missing(self, now_s):
        """Drop targets still missing after an outage; return whether any were."""
        due = [name for name, at_s in self.missing.items() if now_s >= at_s]
        changed = False
        for name in due:
            del self.missing[name]
            changed |= self._remove(name, self.revision)
        return self._rebuild_index(changed, now_s)

    def _put(self, name, target):
        if target is None:
            return self._remove(name, self.revision)
        known = self.targets.get(name)
        if known is not None and known.revision >= target.revision:
            if known.revision == target.revision:
                self.missing.pop(name, None)
            return False
        if self.removed_revisions.get(name, -1) >= target.revision:
            return False
        self.missing.pop(name, None)
        self.targets[name] = target
        return known is None or replace(known, revision=target.revision) != target

    def _remove(self, name, revision):
        known = self.targets.get(name)
        if known is not None and known.revision > revision:
            return False
        self.removed_revisions[name] = max(
            revision, self.removed_revisions.get(name, -1)
        )
        if len(self.removed_revisions) > 4 * len(self.targets) + 1000:
            self.removed_revisions.pop(next(iter(self.removed_revisions)))
        self.missing.pop(name, None)
        return self.targets.pop(name, None) is not None

    def _rebuild_index(self, changed, now_s):
        if changed or self.changed_s is None:
            self.changed_s = now_s
            services = {}
            for target in self.targets.values():
                services.setdefault(target.service, []).append(target)
            self.services = services
        return changed

    def list_service(self, service):
        """Return the targets of a service, those that are leaving included."""
        return self.services.get(service, [])

    def is_leaving(self, target):
        """Return whether the source or the target itself says that it is leaving."""
        if target.leaving:
            return True
        leaving = self.notices.leaving
        return bool(leaving) and target.identity in leaving

    def drop_unlisted_notices(self, now_s):
        """Drop the notices of targets that have been unlisted for long."""
        listed = {target.identity for target in self.targets.values()}
        self.notices.drop_unlisted(listed, now_s)
