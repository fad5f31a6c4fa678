"""Announcements of a new version: whom to tell, and whom to tell again.

In the relay tree a failure domain's watchers are the roots, and each node tells up to
eight nodes below it. In either variant one peer of another domain hears of it too.
"""

from balsamdeal.core.membership import WATCHERS_PER_DOMAIN
from balsamdeal.documents import CONFIG

TREE_ARITY = 8
GOSSIP_FANOUT = 4
TRIES = 4
RETRY_S = 0.3


class Announcements:
    """Peers that were told of the newest version and have not answered.

    :param membership: the node's ``Membership``.
    :param random: the seeded generator of the reducer.
    :param by_tree: whether the relay tree decides; otherwise the peers are random.
    """

    def __init__(self, membership, random, by_tree):
        self._membership = membership
        self._random = random
        self._by_tree = by_tree
        self._unheard = {}

    def begin(self, now_s):
        """Return the addresses to tell of a version that was just applied.

        :param now_s: the loop's time in seconds.
        """
        if self._by_tree:
            addresses = self._list_children(self._membership.own.peer_address)
        else:
            inside = self._membership.list_peers(now_s, True)
            count = min(GOSSIP_FANOUT - 1, len(inside))
            addresses = self._random.sample(inside, count)
        outside = self._membership.list_peers(now_s, False)
        if outside:
            addresses = [*addresses, self._random.choice(outside)]
        self._unheard = {address: (TRIES - 1, None) for address in addresses}
        return addresses

    def note_answer(self, address):
        """Note that a peer answered."""
        self._unheard.pop(address, None)

    def note_failure(self, address, now_s):
        """Plan another try, and return the addresses to tell in a relay's place.

        :param address: the peer that did not answer.
        :param now_s: the loop's time in seconds.
        """
        tries, _ = self._unheard.get(address, (0, None))
        if tries:
            delay_s = RETRY_S * self._random.uniform(0.5, 1.5)
            self._unheard[address] = (tries, now_s + delay_s)
        if not self._by_tree or tries != TRIES - 1:
            return []
        own = self._membership.own.peer_address
        below = [
            child
            for child in self._list_children(address)
            if child != own and child not in self._unheard
        ]
        for child in below:
            self._unheard[child] = (TRIES - 1, None)
        return below

    def list_due(self, now_s):
        """Return the addresses to tell once more now."""
        due = [
            address
            for address, (_, due_s) in self._unheard.items()
            if due_s is not None and now_s >= due_s
        ]
        for address in due:
            tries, _ = self._unheard[address]
            self._unheard[address] = (tries - 1, None)
        return due

    def _list_children(self, address):
        """Return the addresses below a node in the domain's tree.

        The watchers are its roots and share the nodes below them; the tree counts
        suspected nodes in, so that views agree on it.
        """
        ranking = self._membership.rank_domain(CONFIG)
        addresses = [vm.peer_address for vm in ranking]
        if address not in addresses:
            return []
        roots, below = addresses[:WATCHERS_PER_DOMAIN], addresses[WATCHERS_PER_DOMAIN:]
        if address in roots:
            # Whichever root hears of a version first brings it to the whole domain.
            others = [root for root in roots if root != address]
            return others + below[:TREE_ARITY]
        first = TREE_ARITY * (below.index(address) + 1)
        return below[first : first + TREE_ARITY]
