"""Says when a leg has taken so long that another replica is asked too."""

from collections.abc import Iterable

from bluebellbay.protocol.profile import Profile
from bluebellbay.settings import PolicySettings
from bluebellbay.state.latency import LatencyTable
from bluebellbay.state.latency import MIN_SAMPLES

BUDGET_USE = 0.8
COLD_SHARE_OF_DELAY = 0.2
LEAST_WAIT_S = 0.001


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

    def find_wait(
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
            self._settings.hedge_quantile, 1 - BUDGET_USE * profile.extra_load
        )
        wait_s = 0.0
        for name in servers:
            if name == server:
                continue
            window = self._latencies.get(name)
            if window.count < MIN_SAMPLES:
                continue
            quantile_s = window.compute_quantile(share)
            if not wait_s or quantile_s < wait_s:
                wait_s = quantile_s
        if not wait_s:
            wait_s = self._find_cold_wait(profile, server, share)
        return max(wait_s, LEAST_WAIT_S)

    def _find_cold_wait(
        self, profile: Profile, server: str, share: float
    ) -> float:
        window = self._latencies.get(server)
        if window.count >= MIN_SAMPLES:
            return window.compute_quantile(share)
        if self._latencies.pooled.count >= MIN_SAMPLES:
            return self._latencies.pooled.compute_quantile(share)
        return COLD_SHARE_OF_DELAY * profile.delay_ms / 1000
