"""The facade of the decision core: events in, commands out."""

import collections
import random

from bluebellbay.coordination.claim import ClaimPart
from bluebellbay.coordination.configuration import ConfigurationPart
from bluebellbay.coordination.leaving import LeavingPart
from bluebellbay.coordination.membership import MembershipPart
from bluebellbay.coordination.part import Part
from bluebellbay.coordination.query import QueryPart
from bluebellbay.coordination.server import ServerPart
from bluebellbay.coordination.share import SharePart
from bluebellbay.coordination.shutdown import ShutdownPart
from bluebellbay.protocol.command import Command
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import INTERNAL_EVENTS
from bluebellbay.settings import Settings
from bluebellbay.state.node import NodeState


class Core:
    """Every decision of one node; it does no input or output.

    :param settings: The node's settings.
    :param rng: The only source of randomness.
    :param parts: Classes of the parts, told events in this order; the
        default is all of them.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        rng: random.Random,
        parts: tuple[type[Part], ...] | None = None,
    ) -> None:
        self.state = NodeState(settings=settings, rng=rng)
        classes = parts if parts is not None else list_parts()
        self._parts = tuple(cls(state=self.state) for cls in classes)
        self._by_event: dict[type, list[Part]] = {}
        for part in self._parts:
            for kind in part.handles:
                self._by_event.setdefault(kind, []).append(part)

    def step(self, event: Event, now: float) -> tuple[Command, ...]:
        """Take one event and everything that follows from it inside.

        :param event: The event.
        :param now: Present time in seconds, Unix time; it must not go back.
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

    def next_wake(self) -> float | None:
        """Name the time at which ``TimePassed`` is due.

        :returns: Time in seconds, or none if no timer is set.
        """
        wakes = [
            wake
            for wake in (part.next_wake() for part in self._parts)
            if wake is not None
        ]
        return min(wakes, default=None)


def list_parts() -> tuple[type[Part], ...]:
    """List the parts of a whole node, in the order they are told events."""
    return (
        ConfigurationPart,
        MembershipPart,
        ServerPart,
        LeavingPart,
        SharePart,
        QueryPart,
        ClaimPart,
        ShutdownPart,
    )
