"""Which lenders a node can ask, and how long their answers take."""

import dataclasses

from bluebellbay.coordination.routing.quota_members import find_lender
from bluebellbay.coordination.routing.quota_members import Members
from bluebellbay.protocol.router_rules import QuotaLimits
from bluebellbay.state.peer import PeerRecord
from bluebellbay.state.router import RouterState

# A caller's request waits meanwhile.
ASK_TIMEOUT_S = 0.03
# A lender further away has as many times the usual round trip.
ROUND_TRIPS_UNTIL_LATE = 3
# A grant is used within this time of its ask, also if another request does.
MAX_ASK_TIMEOUT_S = 0.3
# A lender that didn't answer in time is not asked for this time.
AVOIDANCE_S = 0.5
# Weight of the latest round trip in the average.
ROUND_TRIP_WEIGHT = 0.2


class LenderDirectory:
    """Finds lenders among the nodes that hold a lease.

    :param state: State of the routing core.
    """

    def __init__(self, *, state: RouterState) -> None:
        self._state = state
        self._node = state.rules.node
        self._avoided_until: dict[str, float] = {}
        # Average time in seconds from an ask to its answer, by lender.
        self._round_trips: dict[str, float] = {}

    @property
    def limits(self) -> QuotaLimits:
        """Limits in force; the failure domains seen if none are listed."""
        limits = self._state.rules.quota
        if limits.domains:
            return limits
        domains = {peer.entry.failure_domain for peer in self._list_peers()}
        domains.add(self._state.failure_domain)
        return dataclasses.replace(limits, domains=tuple(sorted(domains)))

    def list_members(self, domain: str, *, with_self: bool = True) -> Members:
        """List the nodes of a failure domain.

        :param domain: The failure domain.
        :param with_self: Whether this node may be among them.
        """
        names = {
            peer.entry.name
            for peer in self._list_peers()
            if peer.entry.failure_domain == domain
        }
        if with_self and domain == self._state.failure_domain:
            names.add(self._node)
        return frozenset(names)

    def list_lenders(
        self, account: str, limits: QuotaLimits, now: float
    ) -> list[str]:
        """List the lenders that may be asked, in the order to ask them.

        That of this failure domain comes first, then the nearest.

        :param account: Name of the account.
        :param limits: Limits in force.
        :param now: Current time in seconds.
        """
        own = self._state.failure_domain
        found = []
        for domain in limits.domains:
            lender = find_lender(self.list_members(domain), account)
            if lender is None or self.is_avoided(lender, now):
                continue
            distance_s = self._round_trips.get(lender, 0.0)
            found.append((domain != own, distance_s, lender))
        return [lender for _, _, lender in sorted(found)]

    def avoid(self, lender: str, now: float) -> None:
        """Ask a lender for nothing for some time, as it did not answer.

        :param lender: Its name.
        :param now: Current time in seconds.
        """
        self._avoided_until[lender] = now + AVOIDANCE_S

    def compute_timeout(self, lender: str) -> float:
        """Compute after how many seconds an ask counts as refused.

        :param lender: Name of the lender.
        """
        round_trip_s = self._round_trips.get(lender, 0.0)
        return min(
            MAX_ASK_TIMEOUT_S,
            max(ASK_TIMEOUT_S, ROUND_TRIPS_UNTIL_LATE * round_trip_s),
        )

    def record_round_trip(self, lender: str, seconds: float) -> None:
        """Record the time that an answer took.

        :param lender: Name of the lender.
        :param seconds: Seconds from the ask to the answer.
        """
        former = self._round_trips.get(lender, seconds)
        self._round_trips[lender] = former + ROUND_TRIP_WEIGHT * (
            seconds - former
        )

    def is_avoided(self, lender: str, now: float) -> bool:
        """Tell whether a lender is asked for nothing now.

        :param lender: Its name.
        :param now: Current time in seconds.
        """
        if lender == self._node:
            return False
        if self._avoided_until.get(lender, 0.0) > now:
            return True
        peer = self._state.peers.get(lender)
        return peer is None or not peer.is_available(now)

    def _list_peers(self) -> list[PeerRecord]:
        return [
            peer for peer in self._state.peers.values() if peer.is_registered
        ]
