"""The route configuration in force, indexed for look-up by request."""

from bluebellbay.protocol.route import CallerLimits
from bluebellbay.protocol.route import Route
from bluebellbay.protocol.route import RouteConfiguration
from bluebellbay.state.accounts import AccountTable


class RouteTable:
    """Looks up routes in the configuration with the highest version seen.

    :ivar accounts: Client accounts; ``None`` if callers need no API key.
    """

    def __init__(self) -> None:
        self.accounts: AccountTable | None = None
        self.configuration: RouteConfiguration | None = None
        self._by_host: dict[str, tuple[Route, ...]] = {}
        self._shards_by_service: dict[str, tuple[str, ...]] = {}

    @property
    def version(self) -> int:
        """The version in force, or 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    @property
    def limits(self) -> CallerLimits:
        """Limits on callers; the defaults if no configuration is in force."""
        if self.configuration is None:
            return CallerLimits()
        return self.configuration.limits

    def accept(
        self, configuration: RouteConfiguration, *, rewritten: bool = False
    ) -> bool:
        """Put a configuration in force if its version is higher.

        :param configuration: The configuration.
        :param rewritten: Whether it may also replace another one of its own
            version.
        :returns: Whether the configuration replaced the one in force.
        """
        if configuration.version < self.version:
            return False
        if configuration.version == self.version and not (
            rewritten and configuration != self.configuration
        ):
            return False
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host, []).append(route)
        self._by_host = {
            host: tuple(sorted(routes, key=lambda item: -len(item.prefix)))
            for host, routes in by_host.items()
        }
        self._shards_by_service = {
            shard: route.scatter.shards
            for route in configuration.routes
            if route.scatter is not None
            for shard in route.scatter.shards
        }
        self.accounts = (
            None
            if configuration.accounts is None
            else AccountTable(configuration.accounts)
        )
        self.configuration = configuration
        return True

    def find(self, host: str, path: str) -> Route | None:
        """Find the route of a request.

        :param host: Value of the ``Host`` header, in any case.
        :param path: Path of the request.
        :returns: The route of the host with the longest matching prefix, or
            ``None`` if no route matches.
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_shards(self, service: str) -> tuple[str, ...]:
        """Find the shards of the scatter route that a service belongs to.

        :param service: Name of the service.
        :returns: The services of all shards of the route; empty if the
            service is not a shard.
        """
        return self._shards_by_service.get(service, ())

    def list_shard_sets(self) -> tuple[tuple[str, ...], ...]:
        """List the sets of shards, each once."""
        return tuple(dict.fromkeys(self._shards_by_service.values()))

    def get_warmup_rate(self, service: str) -> float:
        """Return how many requests a cold replica takes from all nodes.

        :param service: Name of the service.
        :returns: Requests per second; 0 for no limit.
        """
        if self.configuration is None:
            return 0.0
        limits = self.configuration.services.get(service)
        return limits.warmup_per_s if limits else 0.0

    def get_connection_limit(self, service: str) -> int:
        """Return how many connections a replica accepts from all nodes.

        :param service: Name of the service.
        :returns: The limit; 1 if the service is not configured.
        """
        if self.configuration is None:
            return 1
        limits = self.configuration.services.get(service)
        return limits.connections if limits else 1
