"""Notes that the store came back from a copy, and has lost changes."""

from bluebellbay.coordination.routing.part import EventHandlers
from bluebellbay.coordination.routing.part import RoutingPart
from bluebellbay.protocol.registry import StoreEraChanged


class RestorePart(RoutingPart):
    """Begins a new era of what is known of the store.

    What the node knows stays in force; the parts that follow compare it with
    what the store lists now.
    """

    def list_handlers(self) -> EventHandlers:
        """Return the handler of each type of event."""
        return {StoreEraChanged: self._handle_restore}

    def _handle_restore(self, event: StoreEraChanged, now: float) -> None:
        state = self.state
        if event.former is None:
            state.store.era = event.era
            return
        state.store.note_restore(
            event.era, now, state.rules.store, state.nodes
        )
        silent_s = state.store.measure_silence(now)
        self.context.log(
            "The store came back from a copy; what is known stays in force.",
            era=event.era,
            former=event.former,
            version=state.routes.version,
            replicas=len(state.replicas),
            evacuated=len(state.evacuated_domains),
            nodes=state.nodes,
            silent_s=None if silent_s is None else round(silent_s, 2),
        )
