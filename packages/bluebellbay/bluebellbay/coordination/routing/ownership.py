"""Divides the shards of a wide query among the nodes of failure domains.

In a fleet whose nodes each see few queries over many shards, a node on its own
would need connections to every replica, learn the latencies of all of them,
and handle the replies of all shards. With owners, all queries for which a
failure domain reads a shard pass through one node there.
"""

from collections.abc import Iterator
import math

from bluebellbay.coordination.routing.assignment import Assignment
from bluebellbay.state.rendezvous import rank_names
from bluebellbay.state.router import RouterState

# Queries over fewer shards are faster without the hop to an owner.
MIN_DIVIDED_SHARDS = 32
# With fewer shards an owner, calls between nodes cost more than they save.
SHARDS_PER_OWNER = 8
MIN_NODES = 3
# The owner of a shard, and the node that replaces it if it fails.
CONNECTED_OWNERS = 2

_Shards = tuple[str, ...]
_Ranking = tuple[str, ...]
_Rankings = dict[str, _Ranking]


class ShardOwners:
    """Ranks the nodes of each failure domain for the shards held there.

    Ranks follow from rendezvous hashing of the names. So nodes agree without
    communication, and a node that joins or leaves moves only its own shards.

    :param state: State of the routing core.
    """

    def __init__(self, *, state: RouterState) -> None:
        self._state = state
        self._node = state.rules.node
        self._members: dict[str, tuple[str, ...]] = {
            state.failure_domain: (self._node,)
        }
        # Owners of each shard by failure domain, set and number of owners.
        self._rankings: dict[tuple[str, _Shards, int], _Rankings] = {}

    def update_members(self) -> bool:
        """Rebuild the lists of the nodes of each failure domain.

        :returns: Whether that of this domain has changed.
        """
        members: dict[str, list[str]] = {}
        for domain, name in self._list_members():
            members.setdefault(domain, []).append(name)
        former = self._members
        self._members = {
            domain: tuple(sorted(names)) for domain, names in members.items()
        }
        if former != self._members:
            self._rankings.clear()
        own = self._state.failure_domain
        return former.get(own) != self._members[own]

    def assign(
        self, domain: str, shards: _Shards, requested: _Shards, now: float
    ) -> tuple[Assignment, ...]:
        """Assign shards of a query to the peers that own them in a domain.

        :param domain: The failure domain that reads the shards.
        :param shards: All services that hold a shard of the set.
        :param requested: The shards to assign.
        :param now: Current Unix time in seconds.
        :returns: Shards by peer; none if the set is not divided there, and
            none for the shards that this node is to query itself.
        """
        rankings = self._get_rankings(domain, shards)
        if not rankings:
            return ()
        held: dict[str, list[str]] = {}
        for shard in requested:
            owner = self._find_owner(rankings[shard], now)
            if owner is not None:
                held.setdefault(owner, []).append(shard)
        return tuple(
            Assignment(peer=self._state.peers[owner], shards=tuple(names))
            for owner, names in held.items()
        )

    def is_connected_owner(self, service: str, shards: _Shards) -> bool:
        """Tell whether this node owns a shard or replaces its owner.

        :param service: Service that holds the shard.
        :param shards: All services of the set that it belongs to.
        :returns: Whether it does; false if the set is not divided.
        """
        domain = self._state.failure_domain
        rankings = self._get_rankings(domain, shards)
        return self._node in rankings.get(service, ())[:CONNECTED_OWNERS]

    def list_owned(self, shards: _Shards, held: int) -> frozenset[str] | None:
        """List the shards that this node is the first owner of.

        :param shards: All services that hold a shard of the set.
        :param held: Number of them with replicas in this failure domain.
        :returns: The shards; ``None`` if the set is not divided here.
        """
        count = _count_owners(shards, held)
        rankings = self._rank(self._state.failure_domain, shards, count)
        if not rankings:
            return None
        return frozenset(
            shard
            for shard, ranking in rankings.items()
            if ranking[0] == self._node
        )

    def list_members(self) -> tuple[str, ...]:
        """List the nodes of this failure domain, in order of their names."""
        return self._members.get(self._state.failure_domain, ())

    @property
    def domain_count(self) -> int:
        """Number of failure domains that have nodes."""
        return len(self._members)

    def clear(self) -> None:
        """Drop what is cached, as a configuration may change the sets."""
        self._rankings.clear()

    def _find_owner(self, ranking: _Ranking, now: float) -> str | None:
        for name in ranking:
            if name == self._node:
                return None
            peer = self._state.peers.get(name)
            if peer is not None and peer.is_available(now):
                return name
        return None

    def _get_rankings(self, domain: str, shards: _Shards) -> _Rankings:
        if len(shards) < MIN_DIVIDED_SHARDS:
            return {}
        replicas = self._state.replicas
        held = sum(domain in replicas.list_domains(name) for name in shards)
        if domain in self._state.evacuated_domains:
            held = 0
        return self._rank(domain, shards, _count_owners(shards, held))

    def _rank(self, domain: str, shards: _Shards, count: int) -> _Rankings:
        if len(shards) < MIN_DIVIDED_SHARDS:
            return {}
        members = self._members.get(domain, ())
        if len(members) < MIN_NODES:
            return {}
        key = (domain, shards, count)
        rankings = self._rankings.get(key)
        if rankings is None:
            owners = rank_names(members, shards[0])[:count]
            rankings = {shard: rank_names(owners, shard) for shard in shards}
            self._rankings[key] = rankings
        return rankings

    def _list_members(self) -> Iterator[tuple[str, str]]:
        yield (self._state.failure_domain, self._node)
        for name, peer in self._state.peers.items():
            if peer.is_registered:
                yield (peer.entry.failure_domain, name)


def _count_owners(shards: _Shards, held: int) -> int:
    # A domain without usable replicas queries those of others.
    return math.ceil((held or len(shards)) / SHARDS_PER_OWNER)
