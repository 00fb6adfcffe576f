"""The entry VMs of the fleet, as one node sees them."""

import dataclasses
import functools
import hashlib

from bluebellbay.protocol.peer import PeerStatus
from bluebellbay.settings import NodeSettings
from bluebellbay.settings import PeerSettings

# Sockets to peers stay few in a large fleet: a node gossips with the next
# ones on a hash ring, which leaves nobody out, and with some more.
RING_GOSSIP_TARGETS = 4
GOSSIP_TARGETS = 16
DEAD_GOSSIP_TARGETS = 4

UNREACHABLE_STATUSES = frozenset({PeerStatus.DEAD, PeerStatus.LEFT})


@dataclasses.dataclass(slots=True, kw_only=True)
class PeerRecord:
    """One peer, as this node sees it.

    :param name: Name of the VM.
    :param failure_domain: Its failure domain.
    :param address: ``host:port`` for callers and operators.
    :param peer_address: ``host:port`` for peers.
    :param status: What is believed of it.
    :param incarnation: Highest incarnation seen of it.
    :param changed_at: Time in seconds of the last change of status.
    """

    name: str
    failure_domain: str
    address: str
    peer_address: str
    status: PeerStatus = PeerStatus.UNKNOWN
    incarnation: int = 0
    changed_at: float = 0.0


class FleetView:
    """This node and its peers, by name."""

    def __init__(
        self, *, node: NodeSettings, peers: tuple[PeerSettings, ...]
    ) -> None:
        self.node = node
        self.configured_names = frozenset(peer.name for peer in peers)
        self.peers: dict[str, PeerRecord] = {
            peer.name: PeerRecord(
                name=peer.name,
                failure_domain=peer.failure_domain,
                address=peer.address,
                peer_address=peer.peer_address,
            )
            for peer in peers
            if peer.name != node.name
        }
        self._gossip_targets: tuple[PeerRecord, ...] | None = None

    def add_peer(self, peer: PeerRecord) -> None:
        """Add a peer.

        :param peer: The peer.
        """
        self.peers[peer.name] = peer
        self._gossip_targets = None

    def remove_peer(self, name: str) -> None:
        """Forget a peer.

        :param name: Name of the peer.
        """
        self.peers.pop(name, None)
        self._gossip_targets = None

    def set_status(
        self, peer: PeerRecord, status: PeerStatus, *, now: float
    ) -> None:
        """Change what is believed of a peer.

        :param peer: The peer.
        :param status: The new status.
        :param now: Present time in seconds.
        """
        if peer.status is status:
            return
        if (peer.status in UNREACHABLE_STATUSES) != (
            status in UNREACHABLE_STATUSES
        ):
            self._gossip_targets = None
        peer.status = status
        peer.changed_at = now

    def list_reachable_peers(self) -> tuple[PeerRecord, ...]:
        """List the peers worth sending to, in the order they were added."""
        return tuple(
            peer
            for peer in self.peers.values()
            if peer.status not in UNREACHABLE_STATUSES
        )

    def list_domain_peers(self) -> tuple[PeerRecord, ...]:
        """List the reachable peers of this node's failure domain."""
        return tuple(
            peer
            for peer in self.list_reachable_peers()
            if peer.failure_domain == self.node.failure_domain
        )

    def list_gossip_targets(self) -> tuple[PeerRecord, ...]:
        """List the reachable peers that this node starts exchanges with."""
        if self._gossip_targets is None:
            self._gossip_targets = self._choose_gossip_targets()
        return self._gossip_targets

    def list_dead_gossip_targets(self) -> tuple[PeerRecord, ...]:
        """List the dead peers that this node tries again."""
        dead = [
            peer
            for peer in self.peers.values()
            if peer.status is PeerStatus.DEAD
        ]
        return tuple(sorted(dead, key=self._hash_pair)[:DEAD_GOSSIP_TARGETS])

    def _choose_gossip_targets(self) -> tuple[PeerRecord, ...]:
        reachable = self.list_reachable_peers()
        if len(reachable) <= GOSSIP_TARGETS:
            return reachable
        own_hash = hash_name(self.node.name)
        ring = sorted(
            reachable,
            key=lambda peer: (
                hash_name(peer.name) < own_hash,
                hash_name(peer.name),
            ),
        )
        other_peers = sorted(ring[RING_GOSSIP_TARGETS:], key=self._hash_pair)
        extra = other_peers[: GOSSIP_TARGETS - RING_GOSSIP_TARGETS]
        return (*ring[:RING_GOSSIP_TARGETS], *extra)

    def _hash_pair(self, peer: PeerRecord) -> bytes:
        return hash_name(f"{self.node.name} {peer.name}")


@functools.lru_cache(maxsize=4096)
def hash_name(name: str) -> bytes:
    """Hash a name for rendezvous hashing.

    :param name: The name.
    :returns: The hash, in an order that is the same at every node.
    """
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
