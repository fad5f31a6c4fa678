"""The list of targets: which exist, where they run, which are leaving.

The source of the list may return stale data, has outages, and loses entries during
them. A target that is missing after an outage is kept until it has had time to be
listed again; one that is removed while the source is available is dropped at once.

The source may also come back from an older copy, which begins a new era. Entries that
were written or removed since the copy was taken are written or removed again soon.
Until then what the copy says of a target does not replace what is known to be newer.
"""

from dataclasses import dataclass, replace

from balsamdeal.core.notices import NoticeTable
from balsamdeal.core.revisions import NO_REVISION, Revision

# How long a target may be missing after an outage of the source: running targets are
# listed again within two seconds of its end. Removed targets that an older copy lists
# are removed again within the same time.
RELIST_GRACE_S = 2.2


@dataclass(frozen=True, slots=True)
class Target:
    """One process of a server; a restart is another target.

    ``instance`` is its name; ``born_ms`` is its start in Unix milliseconds, which
    distinguishes restarts under one name, or None. ``node_address`` is the node in
    front of it. ``revision`` is that of the entry's last change.
    """

    instance: str
    born_ms: int | None
    service: str
    address: str
    node_address: str
    failure_domain: str
    slots: int
    leaving: bool
    revision: Revision

    @property
    def identity(self):
        """The name and start time, which differ after a restart."""
        return (self.instance, self.born_ms)


@dataclass(frozen=True, slots=True)
class Removal:
    """When an entry was removed, and its target's ``identity``, None if unknown."""

    revision: Revision
    identity: tuple | None


class TargetList:
    """Targets by the name of their entry at the source; changed in place.

    ``services`` is an index by service. ``removals`` holds the ``Removal`` of entries,
    so that stale data does not restore them. ``missing`` holds, for entries that are
    missing after an outage, the time at which they are dropped. ``withheld`` holds
    entries that were removed in an earlier era but are listed in this one: pairs of
    ``Target`` and the time from which it is used. ``changed_s`` is the loop's time of
    the last change. ``notices`` holds what targets have said of themselves in answers.
    Times are in seconds.
    """

    def __init__(self):
        self.targets = {}
        self.services = {}
        self.removals = {}
        self.missing = {}
        self.withheld = {}
        self.revision = NO_REVISION
        self.changed_s = None
        self.notices = NoticeTable()

    def apply_listing(self, entries, revision, after_outage, now_s):
        """Apply a full list; one of an earlier era changes nothing.

        :param entries: pairs of entry name and ``Target``; None for an invalid entry.
        :param revision: the source's revision when the read of the list began.
        :param after_outage: whether the source had an outage since the last update.
        :param now_s: the loop's time in seconds.
        :return: whether anything changed, removal of invalid entries included.
        """
        if revision.era < self.revision.era:
            return False
        if revision.era > self.revision.era:
            # Entries have as long again to be written or removed.
            self.missing.clear()
            self.withheld.clear()
        listed = dict(entries)
        changed = False
        for name, target in listed.items():
            if target is None:
                changed |= self._remove(name, revision)
            elif not self._withhold(name, target, now_s):
                changed |= self._put(name, target)
        for name in [name for name in self.targets if name not in listed]:
            known = self.targets[name]
            if known.revision > revision:
                continue
            if after_outage or known.revision.era < revision.era:
                self.missing.setdefault(name, now_s + RELIST_GRACE_S)
            else:
                changed |= self._remove(name, revision)
        for name in self.withheld.keys() - listed.keys():
            del self.withheld[name]
        self.revision = max(self.revision, revision)
        return self._rebuild_index(changed, now_s)

    def apply_changes(self, changes, revision, now_s):
        """Apply changes in the order of the source.

        :param changes: triples of entry name, ``Target`` or None, and revision; None
            stands for a removed or invalid entry.
        :param revision: the source's revision after them, of the era of the last list.
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

    def end_grace(self, now_s):
        """Drop targets that are still missing, and use those still withheld, if due.

        :return: whether anything changed.
        """
        changed = False
        for name in [item for item, at_s in self.missing.items() if now_s >= at_s]:
            changed |= self._remove(name, self.revision)
        due = [item for item, (_, at_s) in self.withheld.items() if now_s >= at_s]
        for name in due:
            target, _ = self.withheld[name]
            changed |= self._put(name, target)
        return self._rebuild_index(changed, now_s)

    def get_next_grace_end_s(self):
        """Return when ``end_grace`` is due next, or None."""
        times = [*self.missing.values(), *(at_s for _, at_s in self.withheld.values())]
        return min(times, default=None)

    def _withhold(self, name, target, now_s):
        """Return whether a listed target is not to be used yet.

        That is so if it was removed in an earlier era, as the copy may be older than
        the removal. An entry that changes in the new era has been written again.
        """
        removal = self.removals.get(name)
        if removal is None or removal.revision.era >= target.revision.era:
            return False
        if removal.identity not in (None, target.identity):
            return False
        first, at_s = self.withheld.setdefault(name, (target, now_s + RELIST_GRACE_S))
        return first.revision == target.revision and now_s < at_s

    def _put(self, name, target):
        known = self.targets.get(name)
        if known is not None and known.revision >= target.revision:
            if known.revision == target.revision:
                self.missing.pop(name, None)
            return False
        removal = self.removals.get(name)
        if removal is not None and removal.revision >= target.revision:
            return False
        self.missing.pop(name, None)
        self.withheld.pop(name, None)
        self.removals.pop(name, None)
        if known is not None and _is_leaving_again(known, target):
            target = replace(target, leaving=True)
        self.targets[name] = target
        return known is None or replace(known, revision=target.revision) != target

    def _remove(self, name, revision):
        known = self.targets.get(name)
        if known is not None and known.revision > revision:
            return False
        identity = known.identity if known is not None else None
        earlier = self.removals.get(name)
        if earlier is not None:
            revision = max(revision, earlier.revision)
            identity = identity or earlier.identity
        self.removals[name] = Removal(revision, identity)
        if len(self.removals) > 4 * len(self.targets) + 1000:
            self.removals.pop(next(iter(self.removals)))
        self.missing.pop(name, None)
        self.withheld.pop(name, None)
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


def _is_leaving_again(known, target):
    """Return whether a target that is leaving has an entry that does not say so yet.

    The entry is that of an older copy: a target that is leaving does not come back.
    """
    return (
        known.leaving
        and known.identity == target.identity
        and known.revision.era < target.revision.era
    )
