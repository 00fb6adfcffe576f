"""Hands events to parts and collects the commands that follow."""

import collections

from bluebellbay.coordination.base_part import BasePart
from bluebellbay.protocol.command import Command
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import INTERNAL_EVENTS


class EventDispatcher:
    """The only way into a set of parts; it does no input or output.

    :param parts: The parts, told events in this order.
    """

    def __init__(self, *, parts: tuple[BasePart, ...]) -> None:
        self._parts = parts
        self._by_event: dict[type, list[BasePart]] = {}
        for part in parts:
            for kind in part.event_types:
                self._by_event.setdefault(kind, []).append(part)

    def step(self, event: Event, now: float) -> tuple[Command, ...]:
        """Take one event and everything that follows from it inside.

        :param event: The event.
        :param now: Present time in seconds; it must not go back.
        :returns: Commands for the transports, in order.
        """
        commands: list[Command] = []
        pending = collections.deque((event,))
        while pending:
            current = pending.popleft()
            for part in self._by_event.get(type(current), ()):
                for item in part.step(current, now):
                    if isinstance(item, INTERNAL_EVENTS):
                        pending.append(item)  # type: ignore[arg-type]
                    else:
                        commands.append(item)  # type: ignore[arg-type]
        return tuple(commands)

    def get_wakeup_time(self) -> float | None:
        """Name the time at which ``TimePassed`` is due.

        :returns: Time in seconds, or none if no timer is set.
        """
        wakeup_times = [
            wakeup_time
            for wakeup_time in (part.get_wakeup_time() for part in self._parts)
            if wakeup_time is not None
        ]
        return min(wakeup_times, default=None)
