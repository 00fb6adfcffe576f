"""The abstract base class of everything that decides on events."""

import abc
from collections.abc import Iterable

from bluebellbay.protocol.command import Command
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import InternalEvent

Output = Command | InternalEvent


class BasePart(abc.ABC):
    """One kind of decision.

    A part is told events in order, reads and changes the shared state, and
    returns commands for the transports and internal events for the other
    parts. It keeps its timers itself and names the earliest one.
    """

    @property
    @abc.abstractmethod
    def event_types(self) -> tuple[type, ...]:
        """The kinds of event that the part wants to be told."""

    @abc.abstractmethod
    def step(self, event: Event, now: float) -> Iterable[Output]:
        """Take one event.

        :param event: The event.
        :param now: Present time in seconds, Unix time.
        :returns: Commands and internal events, in order.
        """

    def get_wakeup_time(self) -> float | None:
        """Name the time at which ``TimePassed`` is due.

        :returns: Time in seconds, or none if no timer is set.
        """
        return None
