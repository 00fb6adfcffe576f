"""Profiles: the coverage, delay and extra load that a query accepts."""

import dataclasses
from typing import Annotated

import msgspec


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Profile:
    """Requirements and limits of one kind of query.

    :param name: Name by which callers select the profile.
    :param coverage_floor: Minimum coverage of an answer, 0 to 1.
    :param delay_ms: Maximum time from arrival to answer, 1 to 60,000 ms.
    :param extra_load: Hedges and retries allowed, as a fraction of the
        first legs, 0 to 1.
    :param rank: Priority, 0 to 9; 0 is the highest, and higher numbers are
        shed first.
    """

    name: Annotated[str, msgspec.Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]
    coverage_floor: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1.0
    delay_ms: Annotated[int, msgspec.Meta(ge=1, le=60000)] = 250
    extra_load: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.05
    rank: Annotated[int, msgspec.Meta(ge=0, le=9)] = 0
