"""The list of targets: which exist, where they run, which are leaving.

The source of the list lags, has outages, and forgets targets while it is away. A
target that is missing after an outage is kept until it has had time to be listed
again; one that is removed while the source is sound is dropped at once.
"""

from dataclasses import dataclass, replace

# How long a target may be missing after the source was away: sources list what
# lives again within two seconds of their return.
RELIST_S = 2.2


@dataclass(frozen=True, slots=True)
class Target:
    """One start of a server.

    ``instance`` names it; ``born_ms`` tells starts under one name apart, in Unix
    milliseconds, or is None. ``node_address`` is the node in front of it.
    ``revision`` is the source's number of the entry's last change.
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
        """What tells this start of a server from all others."""
        return (self.instance, self.born_ms)


class TargetList:
    """Targets by name of their entry; changed in place.

    ``changed_s`` is the loop's time of the last change, in seconds.
    """

    def __init__(self):
        self.targets = {}
        self.services = {}
        self.removed = {}
        self.missing = {}
        self.revision = 0
        self.changed_s = None

    def apply_listing(self, entries, revision, after_outage, now_s):
        """Take the whole list.

        :param entries: pairs of entry name and ``Target``; None for a bad entry.
        :param revision: the source's revision when the list was begun.
        :param after_outage: whether the source was away since the last news.
        :param now_s: the loop's time in seconds.
        :return: whether anything changed, entries that are bad included.
        """
        listed = dict(entries)
        changed = False
        for name, target in listed.items():
            changed |= self._put(name, target)
        for name in [name for name in self.targets if name not in listed]:
            if self.targets[name].revision > revision:
                continue
            if after_outage:
                self.missing.setdefault(name, now_s + RELIST_S)
            else:
                changed |= self._remove(name, revision)
        self.revision = max(self.revision, revision)
        return self._index(changed, now_s)

    def apply_changes(self, changes, revision, now_s):
        """Take changes in the order of the source.

        :param changes: triples of entry name, ``Target`` or None, and revision; a
            None target is a removed or bad entry.
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
        return self._index(changed, now_s)

    def expire_missing(self, now_s):
        """Drop what stayed missing after an outage; return whether anything was."""
        due = [name for name, at_s in self.missing.items() if now_s >= at_s]
        changed = False
        for name in due:
            del self.missing[name]
            changed |= self._remove(name, self.revision)
        return self._index(changed, now_s)

    def _put(self, name, target):
        if target is None:
            return self._remove(name, self.revision)
        known = self.targets.get(name)
        if known is not None and known.revision >= target.revision:
            if known.revision == target.revision:
                self.missing.pop(name, None)
            return False
        if self.removed.get(name, -1) >= target.revision:
            return False
        self.missing.pop(name, None)
        self.targets[name] = target
        return known is None or replace(known, revision=target.revision) != target

    def _remove(self, name, revision):
        known = self.targets.get(name)
        if known is not None and known.revision > revision:
            return False
        self.removed[name] = max(revision, self.removed.get(name, -1))
        if len(self.removed) > 4 * len(self.targets) + 1000:
            self.removed.pop(next(iter(self.removed)))
        self.missing.pop(name, None)
        return self.targets.pop(name, None) is not None

    def _index(self, changed, now_s):
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
