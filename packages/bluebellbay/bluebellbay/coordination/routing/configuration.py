"""Keeps the newest configuration in force."""

from bluebellbay.coordination.routing.connection_limit import (
    set_connection_limits,
)
from bluebellbay.coordination.routing.part import EventHandlers
from bluebellbay.coordination.routing.part import RoutingPart
from bluebellbay.protocol.registry import ConfigurationFound
from bluebellbay.protocol.registry import SetCallerLimits


class ConfigurationPart(RoutingPart):
    """Takes the configuration that the store holds; it never goes back."""

    def list_handlers(self) -> EventHandlers:
        """List what is done for each kind of event."""
        return {ConfigurationFound: self._apply_configuration}

    def _apply_configuration(
        self, event: ConfigurationFound, now: float
    ) -> None:
        del now
        former = self.state.routes.version
        configuration = event.configuration
        if not self.state.routes.accept(configuration):
            if configuration.version < former:
                self.context.log(
                    "Kept the configuration, as the store's is older.",
                    version=former,
                    older=configuration.version,
                )
            return
        self.context.log(
            "Put a configuration in force.",
            version=configuration.version,
            former=former,
            routes=len(configuration.routes),
        )
        self.context.emit(SetCallerLimits(limits=configuration.limits))
        self.context.owners.clear_rankings()
        set_connection_limits(self.context)
