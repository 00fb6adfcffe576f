"""Divides the shards of a wide query among the nodes of a failure domain.

In a fleet whose nodes each see few queries over many shards, a node on its own
would need connections to every replica, learn the latencies of all of them,
and handle the replies of all shards. With owners, all queries of a failure
domain over one shard pass through one node.
"""

from collections.abc import Iterator
import hashlib
import math

from bluebellbay.coordination.routing.delegation import Assignment
from bluebellbay.state.router import RouterState

# Queries over fewer shards are faster without the hop to an owner.
MIN_DIVIDED_SHARDS = 32
# With fewer shards an owner, calls between nodes cost more than they save.
SHARDS_PER_OWNER = 8
MIN_NODES = 3
# The owner of a shard, and the node that replaces it if it fails.
CONNECTED_OWNERS = 2

_Rankings = dict[str, tuple[str, ...]]


class ShardOwners:
    """Ranks the nodes of this failure domain for each shard.

    Ranks follow from rendezvous hashing of the names. So nodes agree without
    communication, and a node that joins or leaves moves only its own shards.

    :param state: State of the routing core.
    """

    def __init__(self, *, state: RouterState) -> None:
        self._state = state
        self._node = state.rules.node
        self._members: tuple[str, ...] = (self._node,)
        self._rankings: dict[tuple[str, ...], _Rankings] = {}

    def update_members(self) -> bool:
        """Rebuild the list of nodes of this failure domain.

        :returns: Whether it has changed.
        """
        members = tuple(sorted(self._list_members()))
        if members == self._members:
            return False
        self._members = members
        self._rankings.clear()
        return True

    def assign(
        self, shards: tuple[str, ...], requested: tuple[str, ...], now: float
    ) -> tuple[Assignment, ...]:
        """Assign shards of a query to the peers that own them.

        :param shards: All services that hold a shard of the set.
        :param requested: The shards to assign.
        :param now: Current Unix time in seconds.
        :returns: Shards by peer; this node queries the others itself.
        """
        rankings = self._get_rankings(shards)
        if not rankings:
            return ()
        held: dict[str, list[str]] = {}
        for shard in requested:
            owner = self._find_owner(rankings[shard], now)
            if owner != self._node:
                held.setdefault(owner, []).append(shard)
        return tuple(
            Assignment(peer=self._state.peers[owner], shards=tuple(names))
            for owner, names in held.items()
        )

    def is_connected_owner(
        self, service: str, shards: tuple[str, ...]
    ) -> bool:
        """Tell whether this node owns a shard or replaces its owner.

        :param service: Service that holds the shard.
        :param shards: All services of the set that it belongs to.
        :returns: Whether it does; false if the set is not divided.
        """
        rankings = self._get_rankings(shards)
        return self._node in rankings.get(service, ())[:CONNECTED_OWNERS]

    def clear_rankings(self) -> None:
        """Drop all cached rankings, as a configuration may change the sets."""
        self._rankings.clear()

    def _find_owner(self, ranking: tuple[str, ...], now: float) -> str:
        for name in ranking:
            if name == self._node:
                return name
            peer = self._state.peers.get(name)
            if peer is not None and peer.is_available(now):
                return name
        return self._node

    def _get_rankings(self, shards: tuple[str, ...]) -> _Rankings:
        if len(shards) < MIN_DIVIDED_SHARDS:
            return {}
        if len(self._members) < MIN_NODES:
            return {}
        rankings = self._rankings.get(shards)
        if rankings is None:
            rankings = self._rankings[shards] = _rank_members(
                self._members, shards
            )
        return rankings

    def _list_members(self) -> Iterator[str]:
        yield self._node
        for name, peer in self._state.peers.items():
            if (
                peer.entry.address
                and peer.lease_ended_at is None
                and peer.entry.failure_domain == self._state.failure_domain
            ):
                yield name


def _rank_members(
    members: tuple[str, ...], shards: tuple[str, ...]
) -> _Rankings:
    owners = math.ceil(len(shards) / SHARDS_PER_OWNER)
    chosen = _sort_by_hash(members, shards[0])[:owners]
    return {shard: _sort_by_hash(chosen, shard) for shard in shards}


def _sort_by_hash(names: tuple[str, ...], key: str) -> tuple[str, ...]:
    return tuple(sorted(names, key=lambda name: _hash(f"{key} {name}")))


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
