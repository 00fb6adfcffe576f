"""Both users' sizes of today, and smaller ones for tests."""

import dataclasses
from typing import Any

from bluebellbay.protocol.key_range import KEY_SPACE_END
from bluebellbay.protocol.leg import Holding
from bluebellbay.settings import IndexSettings
from bluebellbay_standins.backend_host import BackendSpec
from bluebellbay_standins.behaviour import BackendBehaviour

FIRST_SNAPSHOT = 1
REPLICA_LETTERS = "abcdefghijklmnopqrstuvwxyz"


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetShape:
    """The indexes of one user and the failure domains they live in.

    :param region: The user's region.
    :param failure_domains: Names of the failure domains.
    :param indexes: The indexes.
    """

    region: str
    failure_domains: tuple[str, ...]
    indexes: tuple[IndexSettings, ...]


def _shape_wide(name: str, services: int) -> IndexSettings:
    return IndexSettings(
        name=name,
        services=services,
        replicas=2,
        slots=2,
        connection_limit=25,
        connect_ms=6.0,
    )


def _shape_single(
    name: str, *, replicas: int, connection_limit: int
) -> IndexSettings:
    return IndexSettings(
        name=name,
        services=1,
        replicas=replicas,
        slots=4,
        connection_limit=connection_limit,
        connect_ms=1.0,
    )


MAZOWSZE = ("mazowsze-a", "mazowsze-b", "mazowsze-c")
TW_NORTH = ("tw-north-a", "tw-north-b", "tw-north-c")

CO_OP = FleetShape(
    region="mazowsze",
    failure_domains=MAZOWSZE,
    indexes=(
        _shape_wide("press-desk", 20),
        _shape_wide("quote-office", 30),
        _shape_single("magazyn", replicas=3, connection_limit=110),
        _shape_single("member-portal", replicas=3, connection_limit=110),
    ),
)

HSINCHU = FleetShape(
    region="tw-north",
    failure_domains=TW_NORTH,
    indexes=(
        _shape_wide("bidfront", 20),
        _shape_wide("yarddesk", 30),
        _shape_single("ledgerrun", replicas=5, connection_limit=45),
        _shape_single("watchbell", replicas=3, connection_limit=45),
    ),
)

SMALL = FleetShape(
    region="mazowsze",
    failure_domains=MAZOWSZE,
    indexes=(
        _shape_wide("press-desk", 4),
        _shape_single("ledgerrun", replicas=3, connection_limit=45),
    ),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerPlace:
    """Where one backend server stands.

    :param name: Name of its VM.
    :param index: Its index.
    :param service: Name of its service.
    :param failure_domain: Its failure domain.
    :param holding: The range that it holds at first.
    """

    name: str
    index: IndexSettings
    service: str
    failure_domain: str
    holding: Holding


def divide_space(services: int) -> tuple[tuple[int, int], ...]:
    """Divide the key space evenly.

    :param services: Number of parts.
    :returns: First key and first key after, of each part.
    """
    bounds = [
        number * KEY_SPACE_END // services for number in range(services + 1)
    ]
    return tuple(zip(bounds, bounds[1:], strict=False))


def place_servers(shape: FleetShape) -> tuple[ServerPlace, ...]:
    """Spread every index's replicas over the failure domains.

    :param shape: The indexes and failure domains.
    :returns: The servers, by index, service and replica.
    """
    places: list[ServerPlace] = []
    for index in shape.indexes:
        parts = divide_space(index.services)
        for number, service in enumerate(index.service_names):
            start, end = parts[number]
            holding = Holding(snapshot=FIRST_SNAPSHOT, start=start, end=end)
            for replica in range(index.replicas):
                turn = (number + replica) % len(shape.failure_domains)
                places.append(
                    ServerPlace(
                        name=f"{service}-{REPLICA_LETTERS[replica]}",
                        index=index,
                        service=service,
                        failure_domain=shape.failure_domains[turn],
                        holding=holding,
                    )
                )
    return tuple(places)


def describe_backend(place: ServerPlace, **changes: Any) -> BackendSpec:
    """Describe a server for a process that hosts it.

    :param place: The server.
    :param changes: Fields of its behaviour that differ.
    :returns: The server to host.
    """
    behaviour = BackendBehaviour(
        holdings=(place.holding,),
        slots=place.index.slots,
        connection_limit=place.index.connection_limit,
        connect_ms=place.index.connect_ms,
    )
    return BackendSpec(
        name=place.name,
        index=place.index.name,
        service=place.service,
        behaviour=dataclasses.replace(behaviour, **changes),
    )
