"""Keeps the parts of the retry slack in step with the store."""

from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.part import EventHandlers
from bluebellbay.coordination.routing.part import RoutingPart
from bluebellbay.protocol.registry import ConfigurationReceived
from bluebellbay.protocol.registry import NodeLeaseEnded
from bluebellbay.protocol.registry import NodeRegistered
from bluebellbay.protocol.registry import NodesListed
from bluebellbay.protocol.registry import ReplicaRemoved
from bluebellbay.protocol.registry import ReplicasListed
from bluebellbay.protocol.registry import ReplicaUpdated
from bluebellbay.protocol.registry import RulesReloaded
from bluebellbay.protocol.registry import StoreAnswered
from bluebellbay.protocol.registry import StoreConfirmed


class SlackPart(RoutingPart):
    """Tells the parts of the slack what has changed in the store.

    It comes after the parts that apply the same changes to the node's state.

    :param context: State and services shared by all requests of the node.
    """

    def __init__(self, *, context: RoutingContext) -> None:
        super().__init__(context=context)
        self._node_changes = 0

    def list_handlers(self) -> EventHandlers:
        """Return the handler of each type of event."""
        return {
            ConfigurationReceived: self._handle_change,
            RulesReloaded: self._handle_change,
            NodesListed: self._handle_change,
            NodeRegistered: self._handle_node,
            NodeLeaseEnded: self._handle_change,
            ReplicasListed: self._handle_replicas,
            ReplicaUpdated: self._handle_replica,
            ReplicaRemoved: self._handle_replica_removal,
            StoreAnswered: self._handle_confirmation,
            StoreConfirmed: self._handle_confirmation,
        }

    def _handle_change(self, event: object, now: float) -> None:
        del event
        self._node_changes = self.state.node_changes
        self.context.slack.update(now)

    def _handle_node(self, event: NodeRegistered, now: float) -> None:
        if self.state.node_changes != self._node_changes:
            self._handle_change(event, now)

    def _handle_replicas(self, event: ReplicasListed, now: float) -> None:
        slack = self.context.slack
        if event.complete:
            changed = slack.list_replicas(event.entries)
        else:
            changed = any([slack.add_replica(item) for item in event.entries])
        if changed:
            slack.update(now)

    def _handle_replica(self, event: ReplicaUpdated, now: float) -> None:
        if self.context.slack.add_replica(event.entry):
            self.context.slack.update(now)

    def _handle_replica_removal(
        self, event: ReplicaRemoved, now: float
    ) -> None:
        if self.context.slack.remove_replica(event.replica_id):
            self.context.slack.update(now)

    def _handle_confirmation(self, event: object, now: float) -> None:
        del event
        self.context.slack.confirm(self.state.store.viewed_at, now)
