"""Membership: the nodes that share limits with this one."""

from bluebellbay.coordination.routing.connection_limit import (
    set_connection_limits,
)
from bluebellbay.coordination.routing.part import EventHandlers
from bluebellbay.coordination.routing.part import RoutingPart
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.registry import NodeLeaseEnded
from bluebellbay.protocol.registry import NodeRegistered
from bluebellbay.protocol.registry import NodesListed
from bluebellbay.state.peer import PeerRecord

# A node whose lease has expired may only be cut off, and still send requests.
DEPARTED_NODE_RETENTION_S = 60.0


class NodePart(RoutingPart):
    """Tracks peers by their leases and counts the nodes.

    A peer still counts for ``DEPARTED_NODE_RETENTION_S`` after its lease.
    """

    def list_handlers(self) -> EventHandlers:
        """Return the handler of each type of event."""
        return {
            NodesListed: self._handle_list,
            NodeRegistered: self._handle_node,
            NodeLeaseEnded: self._handle_removal,
        }

    def _handle_list(self, event: NodesListed, now: float) -> None:
        listed = {node.name for node in event.nodes}
        self.state.is_registered = self.state.rules.node in listed
        for name, peer in self.state.peers.items():
            if name not in listed and peer.lease_ended_at is None:
                peer.lease_ended_at = now
        for node in event.nodes:
            self._add_node(node)
        self._count_nodes(now)

    def _handle_node(self, event: NodeRegistered, now: float) -> None:
        if self._is_known(event.node):
            # After a restore of the store all nodes register again at once.
            return
        self._add_node(event.node)
        self._count_nodes(now)

    def _is_known(self, node: NodeEntry) -> bool:
        """Tell whether a node has only written its entry again."""
        if node.name == self.state.rules.node:
            return self.state.is_registered
        peer = self.state.peers.get(node.name)
        if peer is None or peer.lease_ended_at is not None:
            return False
        place = (peer.entry.address, peer.entry.failure_domain)
        return place == (node.address, node.failure_domain)

    def _handle_removal(self, event: NodeLeaseEnded, now: float) -> None:
        if event.name == self.state.rules.node:
            self.state.is_registered = False
        peer = self.state.peers.get(event.name)
        if peer is not None and peer.lease_ended_at is None:
            peer.lease_ended_at = now
        self._count_nodes(now)

    def _add_node(self, node: NodeEntry) -> None:
        if node.name == self.state.rules.node:
            self.state.is_registered = True
            return
        peer = self.state.peers.get(node.name)
        if peer is None:
            self.state.peers[node.name] = PeerRecord(entry=node)
            return
        if peer.entry != node:
            peer.suspended_since = None
        peer.entry = node
        peer.lease_ended_at = None

    def _list_members(self) -> list[tuple[str, str]]:
        members = [
            (peer.entry.failure_domain, name)
            for name, peer in self.state.peers.items()
            if peer.lease_ended_at is None
        ]
        if self.state.is_registered:
            members.append((self.state.failure_domain, self.state.rules.node))
        return members

    def _count_nodes(self, now: float) -> None:
        self.state.node_changes += 1
        for name, peer in tuple(self.state.peers.items()):
            gone_at = peer.lease_ended_at
            if (
                gone_at is not None
                and now >= gone_at + DEPARTED_NODE_RETENTION_S
            ):
                del self.state.peers[name]
        self.context.selector.permits.update_members(self._list_members(), now)
        changed = self.context.owners.update_members()
        count = len(self.state.peers) + 1
        if count != self.state.nodes:
            self.context.log(
                "Changed the number of nodes that share limits.",
                nodes=count,
                former=self.state.nodes,
            )
            self.state.nodes = count
            changed = True
        if changed:
            set_connection_limits(self.context)
