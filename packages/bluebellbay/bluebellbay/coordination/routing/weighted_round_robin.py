"""Weighted choice among the services that share a route."""

from bluebellbay.protocol.route import Route


class WeightedRoundRobin:
    """Smooth weighted round robin: exact shares, evenly spread over time.

    Each choice raises the credit of every service by its weight. The service
    with the highest credit is chosen, and pays the sum of the weights.
    """

    def __init__(self) -> None:
        self._credits: dict[tuple[str, tuple[str, ...]], list[float]] = {}

    def choose_service(self, route: Route) -> str:
        """Choose a service.

        :param route: The route; it has at least one service.
        :returns: Name of the service.
        """
        shares = route.services
        if len(shares) == 1:
            return shares[0].service
        key = (route.name, tuple(share.service for share in shares))
        credits = self._credits.setdefault(key, [0.0] * len(shares))
        for index, share in enumerate(shares):
            credits[index] += share.weight
        chosen = max(range(len(shares)), key=credits.__getitem__)
        credits[chosen] -= sum(share.weight for share in shares)
        return shares[chosen].service
