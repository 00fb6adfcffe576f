"""The entry VMs of the fleet and their status, as seen by one node."""

import dataclasses

from bluebellbay.protocol.peer import PeerStatus
from bluebellbay.settings import NodeSettings
from bluebellbay.settings import PeerSettings
from bluebellbay.state.rendezvous import hash_name

# The number of gossip targets is bounded, as each one takes a socket. The next
# nodes on a hash ring make sure that every node is somebody's target; the
# others are chosen by rendezvous hashing.
RING_GOSSIP_TARGETS = 4
GOSSIP_TARGETS = 16
DEAD_GOSSIP_TARGETS = 4

UNREACHABLE_STATUSES = frozenset({PeerStatus.DEAD, PeerStatus.LEFT})


@dataclasses.dataclass(slots=True, kw_only=True)
class PeerRecord:
    """A member of the fleet, as seen by this node.

    :param name: Name of the peer's VM.
    :param failure_domain: Failure domain of the VM.
    :param address: ``host:port`` for callers and operators.
    :param peer_address: ``host:port`` for peers.
    :param status: Status assumed by this node.
    :param incarnation: Highest incarnation of the peer seen so far.
    :param changed_at: Time in seconds of the last change of ``status``.
    """

    name: str
    failure_domain: str
    address: str
    peer_address: str
    status: PeerStatus = PeerStatus.UNKNOWN
    incarnation: int = 0
    changed_at: float = 0.0


class FleetView:
    """This node and its peers.

    :param node: Settings of this node.
    :param peers: Settings of the peers known at start; this node is left
        out of them.
    :ivar configured_names: Names in ``peers``.
    :ivar peers: All known peers by name, in the order they were added.
    """

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
        """Add a peer, or replace the record of the same name.

        :param peer: The peer.
        """
        self.peers[peer.name] = peer
        self._gossip_targets = None

    def remove_peer(self, name: str) -> None:
        """Remove a peer, if it is known.

        :param name: Name of the peer.
        """
        self.peers.pop(name, None)
        self._gossip_targets = None

    def set_status(
        self, peer: PeerRecord, status: PeerStatus, *, now: float
    ) -> None:
        """Change the status of a peer.

        :param peer: The peer.
        :param status: The new status.
        :param now: Current time in seconds.
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
        """List the peers not known to be dead or gone, in insertion order."""
        return tuple(
            peer
            for peer in self.peers.values()
            if peer.status not in UNREACHABLE_STATUSES
        )

    def list_domain_peers(self) -> tuple[PeerRecord, ...]:
        """List the reachable peers in this node's failure domain."""
        return tuple(
            peer
            for peer in self.list_reachable_peers()
            if peer.failure_domain == self.node.failure_domain
        )

    def list_gossip_targets(self) -> tuple[PeerRecord, ...]:
        """List the reachable peers that this node gossips with."""
        if self._gossip_targets is None:
            self._gossip_targets = self._choose_gossip_targets()
        return self._gossip_targets

    def list_dead_gossip_targets(self) -> tuple[PeerRecord, ...]:
        """List the dead peers that this node probes for a return."""
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
