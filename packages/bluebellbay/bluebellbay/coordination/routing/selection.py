"""Chooses the replica that a request goes to."""

from collections.abc import Container
import math

from bluebellbay.protocol.route import Route
from bluebellbay.state.latency import LatencyWindow
from bluebellbay.state.replica import ReplicaRecord
from bluebellbay.state.router import RouterState

# What a request must gain to be worth its bytes between failure domains, as
# a part of its objective. A shard is but a small part of an answer.
CROSS_PART = 0.05
SHARD_CROSS_PART = 0.5
OVERDUE_S = 0.100
LAST_RESORT_S = 10.0
# A refusal costs little time, but part of the retry budget.
REFUSAL_S = 0.060
WARMUP_FACTOR = 1.6
UNKNOWN_LATENCY_S = 0.010
# An estimate loses its weight while nothing is sent there.
ESTIMATE_LIFE_S = 3.0
# Of latencies that are further apart, only the last tells of the present.
SPARSE_S = 0.5
JITTER = 0.1


class ReplicaSelector:
    """Compares replicas by the time that they would take.

    :param state: What the node knows.
    """

    def __init__(self, *, state: RouterState) -> None:
        self._state = state
        self._pooled: dict[str, LatencyWindow] = {}

    def find_pooled(self, route: str) -> LatencyWindow:
        """Give the latencies of a route over all replicas.

        :param route: Name of the route.
        :returns: The window, empty at first.
        """
        found = self._pooled.get(route)
        if found is None:
            found = self._pooled[route] = LatencyWindow()
        return found

    def count_usable(self, service: str) -> int:
        """Count the replicas that may get requests and can be reached.

        :param service: Name of the service.
        :returns: How many there are.
        """
        return sum(
            self._state.is_usable(record)
            for record in self._state.replicas.list_service(service)
        )

    def choose(
        self, service: str, route: Route, tried: Container[str], now: float
    ) -> ReplicaRecord | None:
        """Choose a replica.

        :param service: Name of the service.
        :param route: The route.
        :param tried: Identities that must not be chosen.
        :param now: Present time in seconds.
        :returns: The replica, or none if no candidate is left.
        """
        best = None
        best_s = math.inf
        for record in self._state.replicas.list_service(service):
            if not self._state.is_usable(record):
                continue
            if record.entry.replica_id in tried:
                continue
            cost_s = self._estimate(record, route, now)
            if cost_s < best_s:
                best = record
                best_s = cost_s
        return best

    def _estimate(
        self, record: ReplicaRecord, route: Route, now: float
    ) -> float:
        entry = record.entry
        time_s = self._find_latency(record, route.name, now)
        time_s *= 1 + JITTER * self._state.rng.random()
        waiting = len(record.in_flight) + 1 - entry.slots
        if waiting > 0:
            time_s *= 1 + waiting / entry.slots
        if self._state.is_remote(record):
            part = CROSS_PART if route.scatter is None else SHARD_CROSS_PART
            time_s += part * route.objective_s
        time_s += REFUSAL_S * record.refusal_rate.read(now)
        if record.has_overdue_attempt(now):
            time_s += OVERDUE_S
        if record.ejected_until > now or record.unlisted_at is not None:
            time_s += LAST_RESORT_S
        return time_s

    def _find_latency(
        self, record: ReplicaRecord, route: str, now: float
    ) -> float:
        usual_s = self.find_pooled(route).estimate_s or UNKNOWN_LATENCY_S
        window = record.latencies.get(route)
        if window is None or not window.count:
            warming = now < record.added_at + record.entry.warmup_s
            return usual_s * (WARMUP_FACTOR if warming else 1.0)
        idle_s = now - window.probed_at
        weight = math.exp(-idle_s / ESTIMATE_LIFE_S)
        estimate_s = window.estimate_s
        if window.sample_interval_s > SPARSE_S:
            estimate_s = window.last_latency_s
        return usual_s + weight * (estimate_s - usual_s)
