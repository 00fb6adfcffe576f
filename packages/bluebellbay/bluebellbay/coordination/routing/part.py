"""Base class of the parts of the routing core."""

import abc
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import TYPE_CHECKING

from bluebellbay.coordination.base_part import BasePart
from bluebellbay.coordination.base_part import Output
from bluebellbay.coordination.routing.context import RoutingContext

if TYPE_CHECKING:
    from bluebellbay.protocol.event import Event

EventHandlers = Mapping[type, Callable[[Any, float], None]]


class RoutingPart(BasePart, abc.ABC):
    """Handles some types of event for the routing core.

    :param context: State and services shared by all requests of the node.
    """

    def __init__(self, *, context: RoutingContext) -> None:
        self.context = context
        self.state = context.state
        self._handlers = self.list_handlers()

    @abc.abstractmethod
    def list_handlers(self) -> EventHandlers:
        """Return the handler of each type of event."""

    @property
    def event_types(self) -> tuple[type, ...]:
        """Types of the events that the part handles."""
        return tuple(self._handlers)

    def step(self, event: "Event", now: float) -> Iterable[Output]:
        """Handle one event.

        :param event: An event of one of the types in ``event_types``.
        :param now: Current Unix time in seconds.
        :returns: Commands and internal events, in order.
        """
        self._handlers[type(event)](event, now)
        return self.context.take_steps()
