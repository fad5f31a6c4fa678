"""Membership: the VM list, suspected peers, and rendezvous ranking.

The VM list may be outdated and may differ between nodes. Two nodes may therefore
compute different results from it, which must do no harm.
"""

import hashlib
from dataclasses import replace

SUSPICION_S = 10.0
DRAIN_MEMORY_S = 30.0
REMOVED_VM_MEMORY_S = 600.0
WATCHERS_PER_DOMAIN = 2
REFUSED = "refused"
MAX_REFUSAL_GAP_S = 0.5
REFUSAL_PROBE_INTERVAL_S = 0.15


def compute_score(subject, vm_name):
    """Return the rendezvous score of a VM for a subject, as comparable bytes."""
    return hashlib.blake2b(f"{subject}|{vm_name}".encode(), digest_size=8).digest()


def rank(subject, vms):
    """Return VMs by descending rendezvous score.

    :param subject: the item to place, such as a channel or a key.
    :param vms: an iterable of ``snapshots.Vm``.
    """
    return sorted(vms, key=lambda vm: compute_score(subject, vm.name), reverse=True)


class Membership:
    """This node's knowledge of the other VMs; changed in place.

    ``vms`` is the VM list by name. ``joined_s`` holds when each VM joined the list, or
    minus infinity for VMs of the first list; ``removed_vms`` holds each VM that left it
    and when. Both times are the loop's in seconds. ``service_revisions`` holds the
    revision of the list that last added or removed a VM of each service.

    :param own: the ``snapshots.Vm`` of this node, from its settings.
    :param seeds: peer addresses to contact while no VM list is known.
    """

    def __init__(self, own, seeds):
        self.own = own
        self.seeds = tuple(seed for seed in seeds if seed != own.peer_address)
        self.vms = {}
        self.joined_s = {}
        self.removed_vms = {}
        self.service_revisions = {}
        self._first_known_with_list = {}
        self._suspected_until = {}
        self._draining_until = {}
        self._refusal_spans = {}
        self._rankings = {}
        self._vms_by_service = {}

    def replace_vms(self, vms, revision, now_s):
        """Replace the VM list by a newer one.

        :param vms: entries by name.
        :param revision: the revision of the list.
        :param now_s: the loop's time in seconds.
        """
        is_first_list = not self.vms
        for name, vm in vms.items():
            if name not in self.vms:
                self.joined_s[name] = float("-inf") if is_first_list else now_s
                self.service_revisions[vm.service] = revision
                self.removed_vms.pop(name, None)
        for name, vm in self.vms.items():
            if name not in vms:
                self.removed_vms[name] = (vm, now_s)
                self.joined_s.pop(name, None)
                self.service_revisions[vm.service] = revision
        self.vms = vms
        self._rankings = {}
        self._vms_by_service = {}
        for vm in vms.values():
            self._vms_by_service.setdefault(vm.service, []).append(vm)

    def expire_removed_vms(self, now_s):
        """Drop VMs that left the list more than REMOVED_VM_MEMORY_S ago.

        No state that refers to them matters any more by then.
        """
        for name, (_, removed_s) in list(self.removed_vms.items()):
            if now_s - removed_s > REMOVED_VM_MEMORY_S:
                del self.removed_vms[name]

    def list_service(self, service):
        """Return the VMs of a service, including those that are leaving."""
        return self._vms_by_service.get(service, [])

    def suspect(self, address, now_s):
        """Avoid an address for ``SUSPICION_S`` after an exchange with it failed."""
        self._suspected_until[address] = now_s + SUSPICION_S

    def clear_suspicion(self, address):
        """Clear suspicion and refusals of an address that sent a message."""
        self._suspected_until.pop(address, None)
        self._refusal_spans.pop(address, None)

    def is_suspected(self, address, now_s):
        """Return whether an exchange failed and no message has come since.

        A failure counts for ``SUSPICION_S``.
        """
        until_s = self._suspected_until.get(address)
        return until_s is not None and now_s < until_s

    def record_refusal(self, address, now_s):
        """Record that a VM refused a connection, so no process listens there.

        Refusals extend one time span as long as the gap between two of them is too
        short for a process to have started and ended in between.
        """
        since_s, last_s = self._refusal_spans.get(address, (now_s, now_s))
        if now_s - last_s > MAX_REFUSAL_GAP_S:
            since_s = now_s
        self._refusal_spans[address] = (since_s, now_s)

    def list_refusal_probes(self, now_s):
        """Return refusing addresses of the own service whose next probe is due.

        Probes keep the gap between refusals below MAX_REFUSAL_GAP_S, so that the
        span of refusals goes on.
        """
        due = []
        for vm in self.list_service(self.own.service):
            _, last_s = self._refusal_spans.get(vm.peer_address, (0.0, float("inf")))
            if REFUSAL_PROBE_INTERVAL_S <= now_s - last_s <= MAX_REFUSAL_GAP_S:
                due.append(vm.peer_address)
        return due

    def set_refusal_start(self, finding, now_s, wall_s):
        """Return a finding, with ``since_s`` set if the VM refuses connections.

        ``since_s`` becomes the start of the current span of refusals, which the
        finding extends.

        :param finding: an ``events.Finding``.
        :param now_s: the loop's time in seconds.
        :param wall_s: the same time in seconds since the epoch.
        """
        if finding.state != "ended" or finding.vm not in self.vms:
            return finding
        address = self.vms[finding.vm].peer_address
        self.record_refusal(address, now_s)
        since_s, _ = self._refusal_spans[address]
        return replace(finding, since_s=wall_s - (now_s - since_s))

    def record_draining(self, vm_name, draining, now_s):
        """Record the draining flag from the view of a VM's node."""
        if draining:
            self._draining_until[vm_name] = now_s + DRAIN_MEMORY_S
        else:
            self._draining_until.pop(vm_name, None)

    def accepts_work(self, vm, now_s):
        """Return whether new work may be sent to a VM.

        Not if it is leaving, or reported within ``DRAIN_MEMORY_S`` that it is draining.
        """
        if vm.leaving:
            return False
        until_s = self._draining_until.get(vm.name)
        return until_s is None or now_s >= until_s

    def record_revision(self, vm_name, revision, now_s):
        """Record the revision of the VM list that a VM holds.

        Keeps when the VM was first known to hold the last change to its own service;
        later lists that leave the service unchanged do not alter that time.
        """
        vm = self.vms.get(vm_name)
        if vm is None:
            return
        changed = self.service_revisions.get(vm.service, 0)
        known, _ = self._first_known_with_list.get(vm_name, (-1, 0.0))
        if known < changed <= revision:
            self._first_known_with_list[vm_name] = (revision, now_s)

    def get_list_known_since_s(self, vm):
        """Return since when a VM is known to hold its service's last change.

        None if it is not known to hold that change.
        """
        known, list_known_since_s = self._first_known_with_list.get(vm.name, (-1, 0.0))
        return (
            list_known_since_s
            if known >= self.service_revisions.get(vm.service, 0)
            else None
        )

    def rank_domain(self, subject):
        """Return the VMs of the own failure domain, ranked by score for a subject.

        This node is always included, other VMs unless they are leaving.
        """
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
        """Return whether this node watches the source for its failure domain.

        The watchers are the first ``WATCHERS_PER_DOMAIN`` VMs in the channel's ranking
        that this node does not suspect.
        """
        watchers_found = 0
        for vm in self.rank_domain(channel):
            if vm.name == self.own.name:
                return True
            if not self.is_suspected(vm.peer_address, now_s):
                watchers_found += 1
            if watchers_found == WATCHERS_PER_DOMAIN:
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
