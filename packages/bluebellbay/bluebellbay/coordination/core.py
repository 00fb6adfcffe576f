"""The decision core of a node, assembled from all its parts."""

import random

from bluebellbay.coordination.configurations.configuration import (
    ConfigurationPart,
)
from bluebellbay.coordination.event_dispatcher import EventDispatcher
from bluebellbay.coordination.fleet.membership import MembershipPart
from bluebellbay.coordination.fleet.share import SharePart
from bluebellbay.coordination.part import Part
from bluebellbay.coordination.postings.claim import ClaimPart
from bluebellbay.coordination.queries.query import QueryPart
from bluebellbay.coordination.servers.leaving import LeavingPart
from bluebellbay.coordination.servers.server import ServerPart
from bluebellbay.coordination.shutdown import ShutdownPart
from bluebellbay.protocol.event import INTERNAL_EVENTS
from bluebellbay.settings import Settings
from bluebellbay.state.node import NodeState


class Core(EventDispatcher):
    """Makes every decision of one node and performs no I/O.

    :param settings: The node's settings.
    :param rng: The only source of randomness, so that a run can be repeated
        from its seed.
    :param parts: Part classes to instantiate. Each event is passed to them
        in this order. Defaults to the result of :func:`list_parts`.
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
        super().__init__(
            parts=tuple(cls(state=self.state) for cls in classes),
            internal_events=INTERNAL_EVENTS,
        )


def list_parts() -> tuple[type[Part], ...]:
    """List the parts of a complete node, in the order they get events."""
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
