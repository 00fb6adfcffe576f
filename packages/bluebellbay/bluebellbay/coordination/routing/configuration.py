"""Applies the configuration that the store holds."""

import math

from bluebellbay.coordination.routing.connection_limit import (
    set_connection_limits,
)
from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.part import EventHandlers
from bluebellbay.coordination.routing.part import RoutingPart
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.registry import ConfigurationReceived
from bluebellbay.protocol.registry import NodeRegistered
from bluebellbay.protocol.registry import NodesListed
from bluebellbay.protocol.registry import SetCallerLimits
from bluebellbay.protocol.registry import StoreEraChanged
from bluebellbay.protocol.route import RouteConfiguration
from bluebellbay.state.store_picture import RestoredItem

# Longest time in seconds for which a started node waits for a configuration
# that others had in force: an entry may be of a node that is gone.
MAX_EARLY_S = 5.0


class ConfigurationPart(RoutingPart):
    """Applies configurations; an older one never replaces a newer one.

    That holds over restores of the store too: what was confirmed stays in
    force until the operator has written it again, or a later one. Only what
    was written again under the same version may differ, if the store had not
    confirmed the former one.

    :param context: State and services shared by all requests of the node.
    """

    def __init__(self, *, context: RoutingContext) -> None:
        super().__init__(context=context)
        # Whether the store was restored since the version in force was read.
        self._restored = False
        # Whether it has shown an older one since.
        self._lacking = False
        # Highest version that other nodes had in force when they registered.
        self._registered_version = 0
        # What a started node has read although others had a later one.
        self._early: RouteConfiguration | None = None
        self._early_until = math.inf

    def list_handlers(self) -> EventHandlers:
        """Return the handler of each type of event."""
        return {
            ConfigurationReceived: self._apply_configuration,
            NodesListed: self._handle_nodes,
            NodeRegistered: self._handle_node,
            StoreEraChanged: self._handle_restore,
            TimerTick: self._handle_time,
        }

    def get_wakeup_time(self) -> float | None:
        """Return the time of the next wake-up, if one is scheduled."""
        return None if self._early is None else self._early_until

    def _handle_nodes(self, event: NodesListed, now: float) -> None:
        del now
        for node in event.nodes:
            self._note_node(node)

    def _handle_node(self, event: NodeRegistered, now: float) -> None:
        del now
        self._note_node(event.node)

    def _note_node(self, node: NodeEntry) -> None:
        if node.name != self.state.rules.node:
            self._registered_version = max(
                self._registered_version, node.version
            )

    def _handle_time(self, event: TimerTick, now: float) -> None:
        del event
        early = self._early
        if early is None or now < self._early_until:
            return
        self._early = None
        self.context.log(
            "Applied a configuration although other nodes had a later one.",
            version=early.version,
            registered=self._registered_version,
        )
        self._apply(early, now)

    def _comes_early(
        self, configuration: RouteConfiguration, now: float
    ) -> bool:
        """Tell whether a started node read what a restore took back.

        The operator writes again what other nodes had in force; until then
        they serve the callers.
        """
        if (
            self.state.routes.configuration is not None
            or configuration.version >= self._registered_version
        ):
            return False
        if self._early is None:
            self._early_until = now + MAX_EARLY_S
            self.context.log(
                "Waiting for a configuration that other nodes had in force.",
                version=configuration.version,
                registered=self._registered_version,
                era=self.state.store.era,
            )
        self._early = configuration
        return True

    def _handle_restore(self, event: StoreEraChanged, now: float) -> None:
        del now
        self._restored = event.former is not None

    def _apply_configuration(
        self, event: ConfigurationReceived, now: float
    ) -> None:
        if self._comes_early(event.configuration, now):
            return
        self._early = None
        self._apply(event.configuration, now)

    def _apply(self, configuration: RouteConfiguration, now: float) -> None:
        former = self.state.routes.version
        accepted = self.state.routes.accept(
            configuration, rewritten=self._restored
        )
        if configuration.version < former:
            self._note_older(configuration.version)
            return
        self._note_rewritten(configuration.version, now)
        if not accepted:
            return
        self.context.log(
            "Applied a configuration.",
            version=configuration.version,
            former=former,
            routes=len(configuration.routes),
        )
        self.context.emit(SetCallerLimits(limits=configuration.limits))
        self.context.owners.clear()
        self.context.selector.permits.clear(now)
        set_connection_limits(self.context)

    def _note_older(self, older: int) -> None:
        store = self.state.store
        if self._restored and not self._lacking:
            self._lacking = True
            store.restored_items[RestoredItem.KEPT] += 1
        self.context.log(
            "Ignored a configuration older than the one in force.",
            version=self.state.routes.version,
            older=older,
            era=store.era,
        )

    def _note_rewritten(self, version: int, now: float) -> None:
        """Note that the store has again what is in force, or more."""
        store = self.state.store
        if self._lacking:
            store.restored_items[RestoredItem.WRITTEN_AGAIN] += 1
            self.context.log(
                "Read the configuration again that a restore had lost.",
                version=version,
                era=store.era,
                missing_s=round(now - store.restored_at, 2),
            )
        self._restored = self._lacking = False
