"""Divides the shards of a wide query among the nodes of a failure domain.

Answers a fleet whose nodes each see few queries over many shards: alone,
every node would need connections to every replica, learn for itself which of
them are slow, and handle each shard's reply in turn. With owners, all queries
of a failure domain over one shard pass through one node.
"""

from collections.abc import Iterator
import hashlib
import math

from bluebellbay.coordination.routing.delegation import Assignment
from bluebellbay.state.router import RouterState

# Narrower queries are faster without a hop.
LEAST_SPREAD_SHARDS = 32
# Fewer shards an owner cost more calls between nodes than they save.
SHARDS_AN_OWNER = 8
LEAST_NODES = 3
# The first owner of a shard, and the one in whose place it may stand.
CONNECTED_RANKS = 2

_Orders = dict[str, tuple[str, ...]]


class ShardOwners:
    """Ranks the nodes of this failure domain for each shard.

    The ranks come from hashes of names, so that nodes agree without talk,
    and a node that goes or comes moves only its own shards.

    :param state: What the node knows.
    """

    def __init__(self, *, state: RouterState) -> None:
        self._state = state
        self._node = state.rules.node
        self._members: tuple[str, ...] = (self._node,)
        self._orders: dict[tuple[str, ...], _Orders] = {}

    def refresh(self) -> bool:
        """Take the nodes that are known now.

        :returns: Whether they are others than before.
        """
        members = tuple(sorted(self._list_members()))
        if members == self._members:
            return False
        self._members = members
        self._orders.clear()
        return True

    def assign(
        self, shards: tuple[str, ...], wanted: tuple[str, ...], now: float
    ) -> tuple[Assignment, ...]:
        """Assign shards of a query to the peers that own them.

        :param shards: Services that hold a shard each, the whole set.
        :param wanted: Those of them that are to be assigned.
        :param now: Present time in seconds.
        :returns: What each peer is to query; the rest is queried from here.
        """
        orders = self._find_orders(shards)
        if not orders:
            return ()
        held: dict[str, list[str]] = {}
        for shard in wanted:
            owner = self._find_owner(orders[shard], now)
            if owner != self._node:
                held.setdefault(owner, []).append(shard)
        return tuple(
            Assignment(peer=self._state.peers[owner], shards=tuple(names))
            for owner, names in held.items()
        )

    def is_connected(self, service: str, shards: tuple[str, ...]) -> bool:
        """Say whether this node is one of the few that query a shard.

        :param service: Service that holds the shard.
        :param shards: The whole set that it belongs to.
        :returns: Whether it is; false if the set is not divided.
        """
        orders = self._find_orders(shards)
        return self._node in orders.get(service, ())[:CONNECTED_RANKS]

    def forget_sets(self) -> None:
        """Drop the ranks of all sets, as a configuration may end some."""
        self._orders.clear()

    def _find_owner(self, order: tuple[str, ...], now: float) -> str:
        for name in order:
            if name == self._node:
                return name
            peer = self._state.peers.get(name)
            if peer is not None and peer.is_available(now):
                return name
        return self._node

    def _find_orders(self, shards: tuple[str, ...]) -> _Orders:
        if len(shards) < LEAST_SPREAD_SHARDS:
            return {}
        if len(self._members) < LEAST_NODES:
            return {}
        orders = self._orders.get(shards)
        if orders is None:
            orders = self._orders[shards] = _rank(self._members, shards)
        return orders

    def _list_members(self) -> Iterator[str]:
        yield self._node
        for name, peer in self._state.peers.items():
            if (
                peer.entry.address
                and peer.lease_ended_at is None
                and peer.entry.failure_domain == self._state.failure_domain
            ):
                yield name


def _rank(members: tuple[str, ...], shards: tuple[str, ...]) -> _Orders:
    owners = math.ceil(len(shards) / SHARDS_AN_OWNER)
    chosen = _order(members, shards[0])[:owners]
    return {shard: _order(chosen, shard) for shard in shards}


def _order(names: tuple[str, ...], key: str) -> tuple[str, ...]:
    return tuple(sorted(names, key=lambda name: _hash(f"{key} {name}")))


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
