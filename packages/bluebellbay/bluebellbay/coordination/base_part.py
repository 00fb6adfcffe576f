"""Abstract base class of the parts of the decision core."""

import abc
from collections.abc import Iterable
from typing import TYPE_CHECKING
from typing import Union

if TYPE_CHECKING:
    from bluebellbay.protocol.command import Command
    from bluebellbay.protocol.event import Event
    from bluebellbay.protocol.event import InternalEvent

Output = Union["Command", "InternalEvent"]


class BasePart(abc.ABC):
    """An event handler that makes one kind of decision, without any I/O.

    A part receives events in order, reads and updates the shared state, and
    returns commands for the transports and internal events for other parts.
    It keeps its own timers and reports when the earliest one expires.
    """

    @property
    @abc.abstractmethod
    def event_types(self) -> tuple[type, ...]:
        """The event types that this part subscribes to."""

    @abc.abstractmethod
    def step(self, event: "Event", now: float) -> Iterable[Output]:
        """Process one event.

        :param event: An event of one of the types in :attr:`event_types`.
        :param now: Current Unix time in seconds.
        :returns: Commands for the transports and internal events for other
            parts, in the order of their execution.
        """

    def get_wakeup_time(self) -> float | None:
        """Return when the next ``TimerTick`` event is due.

        :returns: Unix time in seconds, or ``None`` if no timer is set.
        """
        return None
