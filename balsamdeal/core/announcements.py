"""Announcements of a new version: their recipients, and the retries.

In the relay tree a failure domain's watchers are the roots. Each node announces the
version to at most eight children, a root to the other root as well. With the tree and
without it, one random peer in another failure domain receives the announcement too.
"""

from balsamdeal.core.membership import WATCHERS_PER_DOMAIN
from balsamdeal.documents import CONFIG

TREE_ARITY = 8
# Recipients without the tree, including the one in another failure domain.
GOSSIP_FANOUT = 4
# Announcements of a version to one peer, including the first.
MAX_TRIES = 4
RETRY_DELAY_S = 0.3


class Announcements:
    """Peers that have not yet answered the announcement of the newest version.

    :param membership: the node's ``Membership``.
    :param random: the node's seeded random generator.
    :param use_tree: whether to announce along the relay tree; else to random peers.
    """

    def __init__(self, membership, random, use_tree):
        self._membership = membership
        self._random = random
        self._use_tree = use_tree
        self._unanswered = {}

    def begin(self, now_s):
        """Return the addresses to announce a version to that was just applied.

        :param now_s: the loop's time in seconds.
        """
        if self._use_tree:
            addresses = self._list_children(self._membership.own.peer_address)
        else:
            same_domain_peers = self._membership.list_peers(now_s, True)
            count = min(GOSSIP_FANOUT - 1, len(same_domain_peers))
            addresses = self._random.sample(same_domain_peers, count)
        other_domain_peers = self._membership.list_peers(now_s, False)
        if other_domain_peers:
            addresses = [*addresses, self._random.choice(other_domain_peers)]
        self._unanswered = {address: (MAX_TRIES - 1, None) for address in addresses}
        return addresses

    def record_answer(self, address):
        """Stop retrying a peer that answered."""
        self._unanswered.pop(address, None)

    def record_failure(self, address, now_s):
        """Schedule a retry, and return the addresses to announce to in its place.

        After the first failure of a peer these are its children in the relay tree.

        :param address: the peer that did not answer.
        :param now_s: the loop's time in seconds.
        """
        tries_left, _ = self._unanswered.get(address, (0, None))
        if tries_left:
            delay_s = RETRY_DELAY_S * self._random.uniform(0.5, 1.5)
            self._unanswered[address] = (tries_left, now_s + delay_s)
        if not self._use_tree or tries_left != MAX_TRIES - 1:
            return []
        own = self._membership.own.peer_address
        descendants = [
            child
            for child in self._list_children(address)
            if child != own and child not in self._unanswered
        ]
        for child in descendants:
            self._unanswered[child] = (MAX_TRIES - 1, None)
        return descendants

    def list_due(self, now_s):
        """Return the addresses whose retry is due."""
        due = [
            address
            for address, (_, retry_s) in self._unanswered.items()
            if retry_s is not None and now_s >= retry_s
        ]
        for address in due:
            tries_left, _ = self._unanswered[address]
            self._unanswered[address] = (tries_left - 1, None)
        return due

    def _list_children(self, address):
        """Return the addresses of a node's children in its failure domain's tree.

        The watchers are the roots and have the same children, besides each other.
        Suspected nodes stay in the tree, so that nodes that suspect different peers
        compute the same tree.
        """
        ranking = self._membership.rank_domain(CONFIG)
        addresses = [vm.peer_address for vm in ranking]
        if address not in addresses:
            return []
        roots, descendants = (
            addresses[:WATCHERS_PER_DOMAIN],
            addresses[WATCHERS_PER_DOMAIN:],
        )
        if address in roots:
            # The first root to receive a version announces it to the whole domain.
            other_roots = [root for root in roots if root != address]
            return other_roots + descendants[:TREE_ARITY]
        first = TREE_ARITY * (descendants.index(address) + 1)
        return descendants[first : first + TREE_ARITY]
