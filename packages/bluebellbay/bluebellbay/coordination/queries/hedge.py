"""Says when a leg has taken so long that another replica is asked too."""

from collections.abc import Iterable

from bluebellbay.protocol.profile import Profile
from bluebellbay.settings import PolicySettings
from bluebellbay.state.latency import LatencyTable
from bluebellbay.state.latency import LEAST_SAMPLES

TARGET_BUDGET_UTILIZATION = 0.8
FALLBACK_FRACTION_OF_LIMIT = 0.2
MIN_HEDGE_DELAY_S = 0.001


class HedgePolicy:
    """Learns after which time a leg is hedged, from its peers' latencies.

    :param settings: The policy in force.
    :param latencies: Latencies of all servers.
    """

    def __init__(
        self, *, settings: PolicySettings, latencies: LatencyTable
    ) -> None:
        self._settings = settings
        self._latencies = latencies

    def compute_hedge_delay(
        self, profile: Profile, server: str, servers: Iterable[str]
    ) -> float:
        """Give the time after which a leg is hedged.

        It is the quantile of the quickest of the other replicas, as a
        server that has become slow must not raise its own limit. It is
        never below what the profile's extra load can pay for.

        :param profile: The profile of the query.
        :param server: Name of the server that has the leg.
        :param servers: Names of all that could have it.
        :returns: Time in seconds from sending.
        """
        share = max(
            self._settings.hedge_quantile,
            1 - TARGET_BUDGET_UTILIZATION * profile.extra_load,
        )
        delay_s = 0.0
        for name in servers:
            if name == server:
                continue
            latencies = self._latencies.get(name)
            if latencies.count < LEAST_SAMPLES:
                continue
            quantile_s = latencies.quantile(share)
            if not delay_s or quantile_s < delay_s:
                delay_s = quantile_s
        if not delay_s:
            delay_s = self._compute_fallback_delay(profile, server, share)
        return max(delay_s, MIN_HEDGE_DELAY_S)

    def _compute_fallback_delay(
        self, profile: Profile, server: str, share: float
    ) -> float:
        latencies = self._latencies.get(server)
        if latencies.count >= LEAST_SAMPLES:
            return latencies.quantile(share)
        if self._latencies.pooled.count >= LEAST_SAMPLES:
            return self._latencies.pooled.quantile(share)
        return FALLBACK_FRACTION_OF_LIMIT * profile.delay_ms / 1000
