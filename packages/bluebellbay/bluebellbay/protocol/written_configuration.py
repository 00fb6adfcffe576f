"""A route configuration as its operators wrote it."""

import dataclasses

from bluebellbay.protocol.route import RouteConfiguration
from bluebellbay.protocol.route import WeightedService


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WrittenConfiguration:
    """A configuration with what its operators wrote but nodes leave out.

    :param configuration: The configuration as the nodes decode it.
    :param splits: Weighted services of each route, as written.
    :param service_names: Names of the services, as written.
    """

    configuration: RouteConfiguration
    splits: tuple[tuple[WeightedService, ...], ...]
    service_names: tuple[str, ...]
