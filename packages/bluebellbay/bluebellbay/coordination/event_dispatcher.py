"""Dispatches events to parts and collects the resulting commands."""

import collections
from typing import TYPE_CHECKING

from bluebellbay.coordination.base_part import BasePart

if TYPE_CHECKING:
    from bluebellbay.protocol.command import Command
    from bluebellbay.protocol.event import Event


class EventDispatcher:
    """Entry point to a set of parts; performs no I/O.

    :param parts: The parts. An event is passed to its subscribers in this
        order.
    :param internal_events: Types of the events that parts emit for others.
    """

    def __init__(
        self,
        *,
        parts: tuple[BasePart, ...],
        internal_events: tuple[type, ...] = (),
    ) -> None:
        self._parts = parts
        self._internal_events = internal_events
        self._by_event: dict[type, list[BasePart]] = {}
        for part in parts:
            for kind in part.event_types:
                self._by_event.setdefault(kind, []).append(part)

    def step(self, event: "Event", now: float) -> tuple["Command", ...]:
        """Process one event and all internal events that it causes.

        :param event: An event from outside the core.
        :param now: Current Unix time in seconds. It must never be lower
            than in an earlier call.
        :returns: Commands for the transports, in the order of their
            execution.
        """
        commands: list[Command] = []
        pending = collections.deque((event,))
        while pending:
            current = pending.popleft()
            for part in self._by_event.get(type(current), ()):
                for item in part.step(current, now):
                    if isinstance(item, self._internal_events):
                        pending.append(item)  # type: ignore[arg-type]
                    else:
                        commands.append(item)  # type: ignore[arg-type]
        return tuple(commands)

    def get_wakeup_time(self) -> float | None:
        """Return when the next ``TimerTick`` event is due.

        :returns: Unix time in seconds, or ``None`` if no timer is set.
        """
        wakeup_times = [
            wakeup_time
            for wakeup_time in (part.get_wakeup_time() for part in self._parts)
            if wakeup_time is not None
        ]
        return min(wakeup_times, default=None)
