"""Divides the shards of a query between this node and its peers.

Shards that have no replica in this failure domain are queried by peers that
are near one. A peer merges the records of its shards and returns only the
greatest, which reduces the traffic between failure domains.
"""

from bluebellbay.coordination.routing.assignment import Assignment
from bluebellbay.coordination.routing.ownership import ShardOwners
from bluebellbay.state.peer import PeerRecord
from bluebellbay.state.router import RouterState

# Querying fewer shards directly costs little more than delegating them.
MIN_DELEGATED_SHARDS = 3

_Peers = dict[str, list[PeerRecord]]
_Domains = dict[str, set[str]]


class QueryDivider:
    """Assigns the shards of queries to peers.

    :param state: State of the routing core.
    :param owners: Owners of shards in the failure domains.
    """

    def __init__(self, *, state: RouterState, owners: ShardOwners) -> None:
        self._state = state
        self._owners = owners

    def divide(
        self, shards: tuple[str, ...], requested: tuple[str, ...], now: float
    ) -> tuple[Assignment, ...]:
        """Assign shards of a query to peers.

        :param shards: All services that hold a shard of the set.
        :param requested: The shards to assign.
        :param now: Current Unix time in seconds.
        :returns: Shards by peer; this node queries the others itself.
        """
        remote = self._assign_remote(shards, requested, now)
        assigned = {
            shard for assignment in remote for shard in assignment.shards
        }
        local = tuple(shard for shard in requested if shard not in assigned)
        domain = self._state.failure_domain
        return remote + self._owners.assign(domain, shards, local, now)

    def _assign_remote(
        self, shards: tuple[str, ...], requested: tuple[str, ...], now: float
    ) -> tuple[Assignment, ...]:
        """Assign shards without a near replica.

        Domains are chosen greedily, the one that holds most shards first.
        """
        peers = self._list_peers(now)
        if not peers:
            return ()
        remote_shards = {
            shard: domains
            for shard in requested
            if self._state.failure_domain
            not in (domains := self._list_domains(shard, now))
        }
        assignments: list[Assignment] = []
        while len(remote_shards) >= MIN_DELEGATED_SHARDS and peers:
            domain = self._choose_domain(remote_shards, peers)
            held = tuple(
                shard
                for shard, domains in remote_shards.items()
                if domain in domains
            )
            if len(held) < MIN_DELEGATED_SHARDS:
                break
            assignments.extend(
                self._owners.assign(domain, shards, held, now)
                or _assign_to_one(peers[domain], held, self._state)
            )
            del peers[domain]
            for shard in held:
                del remote_shards[shard]
        return tuple(assignments)

    def _list_peers(self, now: float) -> _Peers:
        peers: _Peers = {}
        for peer in self._state.peers.values():
            domain = peer.entry.failure_domain
            if (
                peer.is_registered
                and peer.is_available(now)
                and domain != self._state.failure_domain
            ):
                peers.setdefault(domain, []).append(peer)
        return peers

    def _list_domains(self, shard: str, now: float) -> set[str]:
        return {
            record.entry.failure_domain
            for record in self._state.replicas.list_service(shard)
            if self._state.may_get_requests(record, now)
            and record.unlisted_at is None
            and record.ejected_until <= now
        }

    def _choose_domain(self, remote_shards: _Domains, peers: _Peers) -> str:
        def rank_domain(domain: str) -> tuple[int, float]:
            held = sum(domain in domains for domains in remote_shards.values())
            return (held, self._state.rng.random())

        return max(peers, key=rank_domain)


def _assign_to_one(
    peers: list[PeerRecord], shards: tuple[str, ...], state: RouterState
) -> tuple[Assignment, ...]:
    peer = min(peers, key=lambda peer: (peer.in_flight, state.rng.random()))
    return (Assignment(peer=peer, shards=shards),)
