"""Shards of a query that another node queries."""

import dataclasses

from bluebellbay.state.peer import PeerRecord


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """Shards that one peer is to query.

    :param peer: The node that queries them.
    :param shards: Names of the services that hold the shards.
    """

    peer: PeerRecord
    shards: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Remainder(Assignment):
    """Shards of an assignment that were pending when the peer answered.

    :param exchange: Exchange at the peer that is resumed for them.
    """

    exchange: int
