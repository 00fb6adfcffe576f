"""Size and load of a run."""

import dataclasses

FIRST_RANK = "first"
SECOND_RANK = "second"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shape:
    """Size and load of a run.

    :param services: Services of the index.
    :param replicas: Replicas of each service.
    :param slots: Slots of each server.
    :param connect_ms: Cost of a connection in ms.
    :param load: Offered load as a fraction of all slots.
    :param seconds: Length of the run in seconds of virtual time.
    :param first_share: Share of the queries of the first rank.
    :param delay_ms: The profiles' delay.
    :param extra_load: The profiles' extra load.
    """

    services: int = 20
    replicas: int = 2
    slots: int = 2
    connect_ms: float = 6.0
    load: float = 0.3
    seconds: float = 16.0
    first_share: float = 0.5
    delay_ms: int = 260
    extra_load: float = 0.05
