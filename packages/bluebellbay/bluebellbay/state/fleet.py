"""The entry VMs of the fleet, as one node sees them."""

import dataclasses
import enum

from bluebellbay.settings import NodeSettings
from bluebellbay.settings import PeerSettings


class PeerStatus(enum.StrEnum):
    """What a node believes of a peer."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


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

    def list_reachable(self) -> tuple[PeerRecord, ...]:
        """List the peers worth sending to, in the order they were added."""
        gone = (PeerStatus.DEAD, PeerStatus.LEFT)
        return tuple(
            peer for peer in self.peers.values() if peer.status not in gone
        )

    def list_domain_peers(self) -> tuple[PeerRecord, ...]:
        """List the reachable peers of this node's failure domain."""
        return tuple(
            peer
            for peer in self.list_reachable()
            if peer.failure_domain == self.node.failure_domain
        )
