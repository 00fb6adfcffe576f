"""Computes the time after which a leg is hedged to another replica."""

from collections.abc import Iterable

from bluebellbay.protocol.profile import Profile
from bluebellbay.settings import PolicySettings
from bluebellbay.state.latency import LatencyTable
from bluebellbay.state.latency import MIN_SAMPLES

TARGET_BUDGET_UTILIZATION = 0.8
FALLBACK_FRACTION_OF_LIMIT = 0.2  # of the profile's delay_ms
MIN_HEDGE_DELAY_S = 0.001


class HedgePolicy:
    """Derives the hedge delay of a leg from the latencies of its replicas.

    :param settings: The policy settings.
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
        """Compute the time after which a leg is hedged.

        It is a latency quantile of the fastest of the other replicas: a
        server that has become slow must not raise its own hedge delay. The
        quantile is at least high enough for the hedges to fit into the
        profile's extra load.

        :param profile: The profile of the query.
        :param server: Name of the server that the leg was sent to.
        :param servers: Names of all candidate servers for the leg.
        :returns: Seconds from sending the leg.
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
            if latencies.count < MIN_SAMPLES:
                continue
            quantile_s = latencies.compute_quantile(share)
            if not delay_s or quantile_s < delay_s:
                delay_s = quantile_s
        if not delay_s:
            delay_s = self._compute_fallback_delay(profile, server, share)
        return max(delay_s, MIN_HEDGE_DELAY_S)

    def _compute_fallback_delay(
        self, profile: Profile, server: str, share: float
    ) -> float:
        latencies = self._latencies.get(server)
        if latencies.count >= MIN_SAMPLES:
            return latencies.compute_quantile(share)
        if self._latencies.pooled.count >= MIN_SAMPLES:
            return self._latencies.pooled.compute_quantile(share)
        return FALLBACK_FRACTION_OF_LIMIT * profile.delay_ms / 1000
