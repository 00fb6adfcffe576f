"""The base class of the parts of the routing core."""

import abc
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from bluebellbay.coordination.base_part import BasePart
from bluebellbay.coordination.base_part import Output
from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.protocol.event import Event

Actions = Mapping[type, Callable[[Any, float], None]]


class RoutingPart(BasePart, abc.ABC):
    """One kind of decision on routed requests.

    :param context: What the requests of this node share.
    """

    def __init__(self, *, context: RoutingContext) -> None:
        self.context = context
        self.state = context.state
        self._actions = self.list_actions()

    @abc.abstractmethod
    def list_actions(self) -> Actions:
        """List what is done for each kind of event."""

    @property
    def event_types(self) -> tuple[type, ...]:
        """The kinds of event that the part wants to be told."""
        return tuple(self._actions)

    def step(self, event: Event, now: float) -> Iterable[Output]:
        """Take one event.

        :param event: The event.
        :param now: Present time in seconds.
        :returns: Commands, in order.
        """
        self._actions[type(event)](event, now)
        return self.context.drain()
