"""Profiles: how much coverage, delay and extra load a query accepts."""

import dataclasses
from typing import Annotated

import msgspec


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Profile:
    """What one kind of query may cost and must bring.

    :param name: Name that callers use.
    :param coverage_floor: Least coverage of an answer, 0 to 1.
    :param delay_ms: Longest time from arrival to answer, 1 to 60,000 ms.
    :param extra_load: Hedges and retries allowed, as a fraction of the
        first legs, 0 to 1.
    :param rank: 0 is served first; higher ranks are shed sooner, 0 to 9.
    """

    name: Annotated[str, msgspec.Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]
    coverage_floor: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1.0
    delay_ms: Annotated[int, msgspec.Meta(ge=1, le=60000)] = 250
    extra_load: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.05
    rank: Annotated[int, msgspec.Meta(ge=0, le=9)] = 0
