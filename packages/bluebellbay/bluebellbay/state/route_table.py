"""The configuration in force, and the route of a request."""

from bluebellbay.protocol.route import CallerLimits
from bluebellbay.protocol.route import Route
from bluebellbay.protocol.route import RouteConfiguration


class RouteTable:
    """Finds routes in the newest configuration; it never goes back."""

    def __init__(self) -> None:
        self.configuration: RouteConfiguration | None = None
        self._by_host: dict[str, tuple[Route, ...]] = {}
        self._shards_by_service: dict[str, tuple[str, ...]] = {}

    @property
    def version(self) -> int:
        """Version in force; 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    @property
    def limits(self) -> CallerLimits:
        """Limits on callers."""
        if self.configuration is None:
            return CallerLimits()
        return self.configuration.limits

    def accept(self, configuration: RouteConfiguration) -> bool:
        """Put a configuration in force if it is newer.

        :param configuration: The configuration.
        :returns: Whether it is in force now.
        """
        if configuration.version <= self.version:
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
        self.configuration = configuration
        return True

    def find(self, host: str, path: str) -> Route | None:
        """Find the route of a request.

        :param host: Value of its ``Host`` header.
        :param path: Its path.
        :returns: The route of that host with the longest prefix, if any.
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_shards(self, service: str) -> tuple[str, ...]:
        """Find the set of shards that a service belongs to.

        :param service: Name of the service.
        :returns: All services of the set; empty if it holds no shard.
        """
        return self._shards_by_service.get(service, ())

    def get_connection_limit(self, service: str) -> int:
        """Give the connections that a replica accepts from all nodes.

        :param service: Name of the service.
        :returns: The limit; 1 if the service is not configured.
        """
        if self.configuration is None:
            return 1
        limits = self.configuration.services.get(service)
        return limits.connections if limits else 1
