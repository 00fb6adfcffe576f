"""Divides the rate limit that a replica names among the nodes of the fleet.

The replica takes ``per_s`` requests a second from all nodes together. One node
in each failure domain, its lender, has a part of what that allows in
``WINDOW_S``; it spends this itself or lends it to nodes that ask. The parts
add up to the limit under one membership, so they do so however nodes are cut
off, start, or learn of the limit (``memberships``).
"""

import math

from bluebellbay.coordination.routing.memberships import KnownMemberships
from bluebellbay.state.rate_limit import WINDOW_S
from bluebellbay.state.replica import ReplicaRecord
from bluebellbay.state.router import RouterState

# A replica that takes less than a request in a window is still asked so often,
# as only its answers tell that the limit has ended.
MAX_INTERVAL_S = 30.0


class RatePermits:
    """Decides whether this node may send a request to a limited replica.

    :param state: State of the routing core.
    :param memberships: The nodes by which limits are divided.
    """

    def __init__(
        self, *, state: RouterState, memberships: KnownMemberships
    ) -> None:
        self._state = state
        self._memberships = memberships

    def may_send(self, record: ReplicaRecord, now: float) -> bool:
        """Tell whether this node's own part allows one more request.

        A request must not wait for a connection either, or it would arrive
        beside later ones.

        :param record: The replica.
        :param now: Current time in seconds.
        """
        if not self.has_connection(record):
            return False
        return self.measure_wait(record, now) <= 0

    def has_connection(self, record: ReplicaRecord) -> bool:
        """Tell whether a request would not wait for a connection.

        :param record: The replica.
        """
        return len(record.in_flight) < max(1, record.connection_limit)

    def spend(self, record: ReplicaRecord, now: float) -> None:
        """Count a request of this node's part.

        :param record: The replica.
        :param now: Current time in seconds.
        """
        limit = record.limit
        if limit is not None and limit.per_s is not None:
            limit.spent.add(now)
            limit.spent_at = now

    def measure_wait(self, record: ReplicaRecord, now: float) -> float:
        """Measure how long this node's own part allows nothing.

        :param record: The replica.
        :param now: Current time in seconds.
        :returns: Seconds; infinite if this node has no part.
        """
        limit = record.limit
        if limit is None or limit.per_s is None:
            return 0.0
        share = self._compute_share(record, limit.per_s, now)
        if share < 1:
            return math.inf
        interval_s = compute_interval(limit.per_s)
        return max(
            limit.spent.measure_wait(share, now),
            limit.spent_at + interval_s - now,
        )

    def list_lenders(self, record: ReplicaRecord) -> tuple[str, ...]:
        """List the lenders of a replica's limit, as this node knows.

        :param record: The replica.
        :returns: Names of the nodes, one in each failure domain.
        """
        shards = self._state.routes.find_shards(record.entry.service)
        return self._memberships.current.list_lenders(record, shards)

    def _compute_share(
        self, record: ReplicaRecord, per_s: float, now: float
    ) -> int:
        shards = self._state.routes.find_shards(record.entry.service)
        node = self._state.rules.node
        return min(
            (
                divide_limit(
                    per_s, membership.list_lenders(record, shards), node
                )
                for membership in self._memberships.list_binding(now)
            ),
            default=0,
        )


def divide_limit(per_s: float, lenders: tuple[str, ...], node: str) -> int:
    """Compute a lender's part of a limit.

    :param per_s: The limit, in requests a second.
    :param lenders: All lenders; the first ones get what can't be divided.
    :param node: Name of the node.
    :returns: Requests in ``WINDOW_S``; 0 if it is no lender.
    """
    if node not in lenders:
        return 0
    total = max(1, math.floor(per_s * WINDOW_S))
    part, rest = divmod(total, len(lenders))
    return part + (lenders.index(node) < rest)


def compute_interval(per_s: float) -> float:
    """Compute the least time between two requests of one part.

    :param per_s: The limit, in requests a second.
    :returns: Seconds; 0 if the limit allows a request in each window.
    """
    if per_s * WINDOW_S >= 1:
        return 0.0
    return min(MAX_INTERVAL_S, 1 / per_s)
