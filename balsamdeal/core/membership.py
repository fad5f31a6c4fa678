"""Who the other nodes are: the VM list, suspicion, and rendezvous ranking.

The VM list lags, and differs between nodes. Whatever is computed from it must be
harmless when two nodes compute it differently.
"""

import hashlib
from dataclasses import replace

SUSPICION_S = 10.0
DRAIN_MEMORY_S = 30.0
DEPARTED_MEMORY_S = 600.0
WATCHERS_PER_DOMAIN = 2
REFUSED = "refused"
REFUSAL_GAP_S = 0.5
REFUSAL_PROBE_S = 0.15


def compute_score(subject, vm_name):
    """Return the rendezvous score of a VM for a subject, as comparable bytes."""
    return hashlib.blake2b(f"{subject}|{vm_name}".encode(), digest_size=8).digest()


def rank(subject, vms):
    """Return VMs by descending rendezvous score.

    :param subject: what is to be placed, such as a channel or a key.
    :param vms: an iterable of ``snapshots.Vm``.
    """
    return sorted(vms, key=lambda vm: compute_score(subject, vm.name), reverse=True)


class Membership:
    """The node's view of the other VMs; changed in place by the reducer.

    :param own: the ``snapshots.Vm`` of this node, from its settings.
    :param seeds: peer addresses to ask while no VM list is known.
    """

    def __init__(self, own, seeds):
        self.own = own
        self.seeds = tuple(seed for seed in seeds if seed != own.peer_address)
        self.vms = {}
        self.joined_s = {}
        self.departed = {}
        self.changed_revision = {}
        self._agreed = {}
        self._suspected_until = {}
        self._draining_until = {}
        self._refusals = {}
        self._rankings = {}
        self._by_service = {}

    def replace_vms(self, vms, revision, now_s):
        """Take over a newer VM list.

        :param vms: entries by name.
        :param revision: the revision of the list.
        :param now_s: the loop's time in seconds.
        """
        first = not self.vms
        for name, vm in vms.items():
            if name not in self.vms:
                self.joined_s[name] = float("-inf") if first else now_s
                self.changed_revision[vm.service] = revision
                self.departed.pop(name, None)
        for name, vm in self.vms.items():
            if name not in vms:
                self.departed[name] = (vm, now_s)
                self.joined_s.pop(name, None)
                self.changed_revision[vm.service] = revision
        self.vms = vms
        self._rankings = {}
        self._by_service = {}
        for vm in vms.values():
            self._by_service.setdefault(vm.service, []).append(vm)

    def forget_departed(self, now_s):
        """Drop departed VMs that are older than any memory of them matters."""
        for name, (_, departed_s) in list(self.departed.items()):
            if now_s - departed_s > DEPARTED_MEMORY_S:
                del self.departed[name]

    def list_service(self, service):
        """Return the VMs of a service, live and leaving."""
        return self._by_service.get(service, [])

    def suspect(self, address, now_s):
        """Avoid an address for a while after an exchange with it failed."""
        self._suspected_until[address] = now_s + SUSPICION_S

    def trust(self, address):
        """End the suspicion of an address that was heard from."""
        self._suspected_until.pop(address, None)
        self._refusals.pop(address, None)

    def is_suspected(self, address, now_s):
        """Return whether an exchange with the address failed a short while ago."""
        until_s = self._suspected_until.get(address)
        return until_s is not None and now_s < until_s

    def note_refusal(self, address, now_s):
        """Note that a VM refused a connection: no process serves there.

        Refusals count as one span while the gaps between them are shorter than a
        process that was started and lost again in between would last.
        """
        since_s, last_s = self._refusals.get(address, (now_s, now_s))
        if now_s - last_s > REFUSAL_GAP_S:
            since_s = now_s
        self._refusals[address] = (since_s, now_s)

    def list_refusing(self, now_s):
        """Return addresses of the own service to probe again, to keep the span."""
        due = []
        for vm in self.list_service(self.own.service):
            _, last_s = self._refusals.get(vm.peer_address, (0.0, float("inf")))
            if REFUSAL_PROBE_S <= now_s - last_s <= REFUSAL_GAP_S:
                due.append(vm.peer_address)
        return due

    def date_end(self, finding, now_s, wall_s):
        """Return a finding, for a refusing VM with the time since it refuses.

        :param finding: an ``events.Finding``.
        :param now_s: the loop's time in seconds.
        :param wall_s: the same moment in seconds since the epoch.
        """
        if finding.state != "ended" or finding.vm not in self.vms:
            return finding
        address = self.vms[finding.vm].peer_address
        self.note_refusal(address, now_s)
        since_s, _ = self._refusals[address]
        return replace(finding, since_s=wall_s - (now_s - since_s))

    def note_draining(self, vm_name, draining, now_s):
        """Remember what a VM's node said about taking new work."""
        if draining:
            self._draining_until[vm_name] = now_s + DRAIN_MEMORY_S
        else:
            self._draining_until.pop(vm_name, None)

    def takes_work(self, vm, now_s):
        """Return whether new work may be sent to a VM."""
        if vm.leaving:
            return False
        until_s = self._draining_until.get(vm.name)
        return until_s is None or now_s >= until_s

    def note_revision(self, vm_name, revision, now_s):
        """Note which VM list a VM holds.

        What counts is when it was first known to hold the last change of its own
        service, so later lists that do not concern the service move nothing.
        """
        vm = self.vms.get(vm_name)
        if vm is None:
            return
        changed = self.changed_revision.get(vm.service, 0)
        known, _ = self._agreed.get(vm_name, (-1, 0.0))
        if known < changed <= revision:
            self._agreed[vm_name] = (revision, now_s)

    def get_agreed_s(self, vm):
        """Return since when a VM is known to hold its service's list, or None."""
        known, agreed_s = self._agreed.get(vm.name, (-1, 0.0))
        return agreed_s if known >= self.changed_revision.get(vm.service, 0) else None

    def rank_domain(self, subject):
        """Return the VMs of the own failure domain, ranked for a subject."""
        ranking = self._rankings.get(subject)
        if ranking is None:
            domain = self.own.failure_domain
            members = {
                vm.name: vm
                for vm in self.vms.values()
                if vm.failure_domain == domain and not vm.leaving
            }
            members[self.own.name] = self.own
            ranking = rank(subject, members.values())
            self._rankings[subject] = ranking
        return ranking

    def is_watcher(self, channel, now_s):
        """Return whether this node watches the source for its failure domain."""
        found = 0
        for vm in self.rank_domain(channel):
            if vm.name == self.own.name:
                return True
            if not self.is_suspected(vm.peer_address, now_s):
                found += 1
            if found == WATCHERS_PER_DOMAIN:
                return False
        return True

    def list_peers(self, now_s, own_domain):
        """Return addresses of peers that are not suspected.

        :param now_s: the loop's time in seconds.
        :param own_domain: True for the own failure domain, False for the others.
        """
        domain = self.own.failure_domain
        return [
            vm.peer_address
            for vm in self.vms.values()
            if (vm.failure_domain == domain) == own_domain
            and vm.name != self.own.name
            and not self.is_suspected(vm.peer_address, now_s)
        ]
