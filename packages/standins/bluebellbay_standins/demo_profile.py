"""The profiles of the demo."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class DemoProfile:
    """A profile of the demo and the indexes that it is used for.

    :param name: Name of the profile.
    :param coverage_floor: Least coverage of an answer.
    :param delay_ms: Longest time in ms to an answer.
    :param extra_load: Hedges and retries allowed, as a fraction.
    :param rank: 0 is served first.
    :param indexes: Names of the indexes.
    """

    name: str
    coverage_floor: float
    delay_ms: int
    extra_load: float
    rank: int
    indexes: tuple[str, ...] = ()


PROFILES = (
    DemoProfile(
        name="batch-lookup",
        coverage_floor=1.0,
        delay_ms=1000,
        extra_load=0.05,
        rank=0,
        indexes=("press-desk", "quote-office"),
    ),
    DemoProfile(
        name="stock-check",
        coverage_floor=0.9,
        delay_ms=1000,
        extra_load=0.02,
        rank=1,
        indexes=("magazyn", "member-portal"),
    ),
    DemoProfile(
        name="closing-minute",
        coverage_floor=0.9,
        delay_ms=500,
        extra_load=0.05,
        rank=0,
        indexes=("bidfront", "yarddesk"),
    ),
    DemoProfile(
        name="watch-upkeep",
        coverage_floor=1.0,
        delay_ms=1000,
        extra_load=0.02,
        rank=2,
        indexes=("watchbell",),
    ),
    DemoProfile(
        name="settlement",
        coverage_floor=1.0,
        delay_ms=3000,
        extra_load=0.0,
        rank=1,
    ),
)


def find_profile(name: str) -> DemoProfile:
    """Look a profile of the demo up.

    :param name: Its name.
    :returns: The profile.
    """
    return next(item for item in PROFILES if item.name == name)
