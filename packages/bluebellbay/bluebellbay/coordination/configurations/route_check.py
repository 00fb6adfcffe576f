"""Finds what has no effect or contradicts itself in a route configuration."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from bluebellbay.coordination.configurations.account_check import AccountCheck
from bluebellbay.coordination.configurations.route_finding import Finding
from bluebellbay.coordination.configurations.route_finding import FindingKind
from bluebellbay.coordination.configurations.route_finding import NameWriter
from bluebellbay.coordination.configurations.route_place import Field
from bluebellbay.coordination.configurations.route_place import Part
from bluebellbay.coordination.configurations.route_place import Place
from bluebellbay.coordination.routing.objective import count_required_shards
from bluebellbay.coordination.routing.warmup_limit import PERMITTED_SHARE
from bluebellbay.protocol.route import Route
from bluebellbay.protocol.route import ScatterRule
from bluebellbay.protocol.route import ServiceLimits
from bluebellbay.protocol.route import WeightedService
from bluebellbay.protocol.router_rules import WarmupLimits
from bluebellbay.protocol.written_configuration import WrittenConfiguration
from bluebellbay.state.route_table import RouteTable

# The settings of a node may have others.
DEFAULT_WARMUP = WarmupLimits()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KnownFleet:
    """What is known of the nodes and replicas of a deployment.

    :param nodes: Number of nodes; ``None`` if unknown.
    :param replicas: Number of replicas of a service, by its name.
    :param default_replicas: Number of replicas of each other service;
        ``None`` if unknown.
    """

    nodes: int | None = None
    replicas: Mapping[str, int] = dataclasses.field(default_factory=dict)
    default_replicas: int | None = None

    def count_replicas(self, service: str) -> int | None:
        """Return the number of replicas of a service.

        :param service: Name of the service.
        :returns: The number; ``None`` if it is unknown.
        """
        return self.replicas.get(service, self.default_replicas)


def check_routes(
    written: WrittenConfiguration, fleet: KnownFleet
) -> tuple[Finding, ...]:
    """Check a configuration that the nodes can decode.

    :param written: The configuration.
    :param fleet: What is known of the deployment.
    :returns: The findings, in the order of the configuration.
    """
    names = NameWriter(written.configuration)
    check = _RouteCheck(written, fleet, names)
    accounts = AccountCheck(
        accounts=written.configuration.accounts or (), names=names
    )
    return tuple(
        [
            *check.check_version(),
            *check.check_routes(),
            *check.check_services(),
            *accounts.find_all(),
        ]
    )


class _RouteCheck:
    def __init__(
        self,
        written: WrittenConfiguration,
        fleet: KnownFleet,
        names: NameWriter,
    ) -> None:
        self._written = written
        self._configuration = written.configuration
        self._fleet = fleet
        self._name = names.write
        self._table = RouteTable()
        self._table.accept(dataclasses.replace(self._configuration, version=1))

    def check_version(self) -> Iterator[Finding]:
        if self._configuration.version < 1:
            yield Finding(
                kind=FindingKind.VERSION_TOO_LOW,
                place=Place(part=Part.VERSION),
                text="nodes ignore a version below 1",
            )

    def check_routes(self) -> Iterator[Finding]:
        names: set[str] = set()
        routes = zip(
            self._configuration.routes, self._written.splits, strict=True
        )
        for index, (route, split) in enumerate(routes):
            yield from self._check_match(index, route)
            if route.name in names:
                yield _find_in_route(
                    FindingKind.NAME_REPEATED,
                    index,
                    Field.NAME,
                    f"another route is named {self._name(route.name)}",
                )
            names.add(route.name)
            yield from self._check_services(index, route, split)
            yield from self._check_times(index, route)
            if route.scatter is not None:
                yield from self._check_coverage(index, route.scatter)

    def _check_match(self, index: int, route: Route) -> Iterator[Finding]:
        if route.prefix and not route.prefix.startswith("/"):
            yield _find_in_route(
                FindingKind.PREFIX_UNREACHABLE,
                index,
                Field.PREFIX,
                "no path begins like this: the prefix lacks its first slash",
            )
            return
        found = self._table.find(route.host, route.prefix)
        if found is not None and found is not route:
            yield _find_in_route(
                FindingKind.PREFIX_HIDDEN,
                index,
                Field.PREFIX,
                f"never matches: route {self._name(found.name)} has the same "
                "host and prefix and comes first",
            )

    def _check_services(
        self, index: int, route: Route, split: tuple[WeightedService, ...]
    ) -> Iterator[Finding]:
        for item, weighted in enumerate(split):
            if weighted.weight > 0:
                continue
            yield Finding(
                kind=FindingKind.WEIGHT_ZERO,
                place=Place(
                    part=Part.ROUTE, index=index, field=Field.SPLIT, item=item
                ),
                text=f"service {self._name(weighted.service)} gets no "
                "request: its weight isn't above 0",
            )
        if route.scatter is not None and route.services:
            yield _find_in_route(
                FindingKind.SERVICE_IGNORED,
                index,
                Field.SPLIT if split else Field.SERVICES,
                "ignored: requests go to the shards of the same route",
            )
        used = _list_used_services(route)
        unlisted = [
            name for name in used if name not in self._configuration.services
        ]
        if unlisted:
            yield _find_in_route(
                FindingKind.SERVICE_UNLISTED,
                index,
                None,
                "nodes open one connection to a replica of services that are "
                f"not listed: {', '.join(map(self._name, unlisted))}",
            )
        counts = {
            name: count
            for name in used
            if (count := self._fleet.count_replicas(name)) is not None
        }
        low = [
            name
            for name, count in counts.items()
            if count < route.most_attempts
        ]
        if low:
            yield _find_in_route(
                FindingKind.ATTEMPTS_ABOVE_REPLICAS,
                index,
                Field.ATTEMPTS,
                f"{route.most_attempts} attempts, but only "
                f"{counts[low[0]]} replicas of {self._name(low[0])}"
                + (f" ({len(low)} services in all)" if len(low) > 1 else ""),
            )

    def _check_times(self, index: int, route: Route) -> Iterator[Finding]:
        if route.timeout_s <= 0:
            yield _find_in_route(
                FindingKind.TIMEOUT_TOO_LOW,
                index,
                Field.TIMEOUT,
                "no request can be answered: the time-out isn't above 0",
            )
        elif route.objective_s > route.timeout_s:
            yield _find_in_route(
                FindingKind.OBJECTIVE_ABOVE_TIMEOUT,
                index,
                Field.OBJECTIVE,
                f"the objective of {route.objective_s:g} s is above the "
                f"time-out of {route.timeout_s:g} s",
            )

    def _check_coverage(
        self, index: int, scatter: ScatterRule
    ) -> Iterator[Finding]:
        shards = len(scatter.shards)
        required = count_required_shards(shards, scatter.min_coverage)
        if required > shards:
            yield _find_in_route(
                FindingKind.COVERAGE_UNREACHABLE,
                index,
                Field.COVERAGE,
                f"no answer is complete enough: {required} of {shards} "
                "shards are required",
            )
        elif required == shards > 1:
            yield _find_in_route(
                FindingKind.COVERAGE_WITHOUT_LOSS,
                index,
                Field.COVERAGE,
                f"the loss of any one of the {shards} shards makes all "
                "queries fail",
            )

    def check_services(self) -> Iterator[Finding]:
        used = {
            name
            for route in self._configuration.routes
            for name in _list_used_services(route)
        }
        used.update(
            share.service for split in self._written.splits for share in split
        )
        names: set[str] = set()
        for index, name in enumerate(self._written.service_names):
            place = Place(part=Part.SERVICE, index=index, field=Field.NAME)
            if name in names:
                yield Finding(
                    kind=FindingKind.NAME_REPEATED,
                    place=place,
                    text=f"service {self._name(name)} is listed before; the "
                    "last entry counts",
                )
                continue
            names.add(name)
            if name not in used:
                yield Finding(
                    kind=FindingKind.SERVICE_UNUSED,
                    place=place,
                    text=f"no route sends to service {self._name(name)}",
                )
            yield from self._check_warmup(
                index, self._configuration.services[name]
            )

    def _check_warmup(
        self, index: int, limits: ServiceLimits
    ) -> Iterator[Finding]:
        nodes = self._fleet.nodes
        if limits.warmup_per_s <= 0 or nodes is None:
            return
        limit_per_s = (
            limits.warmup_per_s * DEFAULT_WARMUP.overage + DEFAULT_WARMUP.slack
        )
        usable_per_s = int(limit_per_s * PERMITTED_SHARE)
        if usable_per_s < nodes:
            yield Finding(
                kind=FindingKind.WARMUP_BELOW_NODES,
                place=Place(
                    part=Part.SERVICE, index=index, field=Field.WARMUP_RATE
                ),
                text=f"at most {usable_per_s} of {nodes} nodes may send a "
                "cold replica a request per second, the others none",
            )


def _list_used_services(route: Route) -> tuple[str, ...]:
    if route.scatter is not None:
        return route.scatter.shards
    return tuple(share.service for share in route.services)


def _find_in_route(
    kind: FindingKind, index: int, field: Field | None, text: str
) -> Finding:
    place = Place(part=Part.ROUTE, index=index, field=field)
    return Finding(kind=kind, place=place, text=text)
