"""Selection of the replica that a request is sent to."""

from collections.abc import Container
import math

from bluebellbay.coordination.routing.pace import compute_share
from bluebellbay.coordination.routing.pace import is_over
from bluebellbay.coordination.routing.rate_permits import RatePermits
from bluebellbay.coordination.routing.warmup_limit import WarmupPermits
from bluebellbay.protocol.replica import ReplicaLoad
from bluebellbay.protocol.route import Route
from bluebellbay.state.latency import LatencyWindow
from bluebellbay.state.replica import ReplicaRecord
from bluebellbay.state.router import RouterState

# Gain in latency that justifies traffic between failure domains, as a share of
# the objective. It is higher for a shard, which is a small part of an answer.
REMOTE_PENALTY_SHARE = 0.05
SHARD_REMOTE_PENALTY_SHARE = 0.5
OVERDUE_PENALTY_S = 0.100
LAST_RESORT_PENALTY_S = 10.0
# A refusal costs little time but a retry, of which few are allowed; a request
# without one fails.
REFUSAL_PENALTY_SHARE = 1.5
DEFAULT_LATENCY_S = 0.010
# Time constant by which an estimate loses weight while there is no traffic.
ESTIMATE_DECAY_S = 3.0
# With samples further apart, only the last one describes the present.
SPARSE_GAP_S = 0.5
JITTER = 0.1
# Time constant by which a reported load loses weight. It is below the usual
# length of a slow period, 0.6 s, so that a report doesn't outlast it.
LOAD_DECAY_S = 0.3


class ReplicaSelector:
    """Chooses the replica with the lowest estimated cost in time.

    :param state: State of the routing core.
    :ivar permits: Limits the requests to cold replicas.
    :ivar rate_permits: Limits the requests to replicas that name a limit.
    """

    def __init__(self, *, state: RouterState) -> None:
        self._state = state
        self.permits = WarmupPermits(state=state)
        self.rate_permits = RatePermits(
            state=state, memberships=self.permits.memberships
        )
        self._pooled: dict[str, LatencyWindow] = {}

    def get_pooled(self, route: str) -> LatencyWindow:
        """Return the latencies of a route over all replicas.

        :param route: Name of the route.
        :returns: The window; empty for a new route.
        """
        found = self._pooled.get(route)
        if found is None:
            found = self._pooled[route] = LatencyWindow()
        return found

    def has_usable(self, service: str, now: float) -> bool:
        """Tell whether a replica may get requests and can be reached.

        :param service: Name of the service.
        :param now: Current Unix time in seconds.
        """
        for record in self._state.replicas.list_service(service):
            if self._state.is_usable(record, now):
                return True
        return False

    def has_permitted(self, service: str, now: float) -> bool:
        """Tell whether a usable replica is within its rate limit, if any.

        :param service: Name of the service.
        :param now: Current Unix time in seconds.
        """
        return any(
            self._state.is_usable(record, now)
            and not self._lacks_permit(record, now)
            for record in self._state.replicas.list_service(service)
        )

    def find_limited(
        self,
        service: str,
        route: Route,
        excluded: Container[str],
        best: ReplicaRecord | None,
        now: float,
    ) -> ReplicaRecord | None:
        """Find the best replica that needs the permit of a lender.

        :param service: Name of the service.
        :param route: The route, for its latencies and its objective.
        :param excluded: Identities of replicas that must not be chosen.
        :param best: The best other replica, if any.
        :param now: Current Unix time in seconds.
        :returns: The replica; ``None`` if none is better than the other one.
        """
        if service not in self._state.limited_services:
            return None
        records = self._state.replicas.list_service(service)
        found = None
        best_s = math.inf
        if best is not None:
            best_s = self._estimate_cost(best, route, now)
        for record in records:
            if record.entry.replica_id in excluded:
                continue
            if not self._lacks_permit(record, now):
                continue
            if not self.rate_permits.has_connection(record):
                continue
            if not self._state.is_usable(record, now):
                continue
            if record.cold_until > now and not self._permits(record, now):
                continue
            cost_s = self._estimate_cost(record, route, now)
            if cost_s < best_s:
                found = record
                best_s = cost_s
        return found

    def count_usable(self, service: str, now: float) -> int:
        """Count the replicas that may get requests and can be reached.

        :param service: Name of the service.
        :param now: Current Unix time in seconds.
        """
        return sum(
            self._state.is_usable(record, now)
            for record in self._state.replicas.list_service(service)
        )

    def choose(
        self, service: str, route: Route, excluded: Container[str], now: float
    ) -> ReplicaRecord | None:
        """Choose a replica of a service.

        :param service: Name of the service.
        :param route: The route, for its latencies and its objective.
        :param excluded: Identities of replicas that must not be chosen.
        :param now: Current Unix time in seconds.
        :returns: The replica, or ``None`` if no candidate is left.
        """
        best = None
        best_s = math.inf
        paced: list[ReplicaRecord] | None = None
        for record in self._state.replicas.list_service(service):
            if not self._state.is_usable(record, now):
                continue
            if record.entry.replica_id in excluded:
                continue
            if record.limit is not None and self._lacks_permit(record, now):
                continue
            if record.cold_until > now and not self._permits(record, now):
                continue
            if record.pace is not None and not _is_last_resort(record, now):
                paced = paced or []
                paced.append(record)
                continue
            cost_s = self._estimate_cost(record, route, now)
            if cost_s < best_s:
                best = record
                best_s = cost_s
        if paced:
            return self._choose_paced(paced, best, best_s, route, now)
        return best

    def _lacks_permit(self, record: ReplicaRecord, now: float) -> bool:
        """Tell whether a replica's rate limit lets this node send nothing."""
        if record.rate_per_s is None:
            return False
        return not self.rate_permits.may_send(record, now)

    def _permits(self, record: ReplicaRecord, now: float) -> bool:
        """Tell whether a cold replica may get a request."""
        if not self.permits.is_limited(record):
            return True
        # The limit paces it; once that ends, it must not be flooded.
        if record.pace is None or record.pace.changed_at < record.cold_until:
            record.begin_pace(record.cold_until)
        return self.permits.may_send(record, now)

    def _choose_paced(
        self,
        paced: list[ReplicaRecord],
        best: ReplicaRecord | None,
        best_s: float,
        route: Route,
        now: float,
    ) -> ReplicaRecord | None:
        """Choose between the best other replica and those that came back.

        Each is a candidate with a probability by its share. Without others
        that have their whole share, all serve at once.
        """
        shares = [self._get_share(record, now) for record in paced]
        # What is a last resort takes no work from them.
        others_serve = best_s < LAST_RESORT_PENALTY_S or max(shares) >= 1
        for record, share in zip(paced, shares, strict=True):
            if others_serve and share < self._state.rng.random():
                continue
            cost_s = self._estimate_cost(record, route, now)
            if cost_s < best_s:
                best = record
                best_s = cost_s
        return best

    def _get_share(self, record: ReplicaRecord, now: float) -> float:
        pace = record.pace
        if pace is None or pace.changed_at > now:
            # Its limit while it is cold paces it.
            return 1.0
        if is_over(pace, now):
            record.pace = None
            return 1.0
        return compute_share(pace, now)

    def _estimate_cost(
        self, record: ReplicaRecord, route: Route, now: float
    ) -> float:
        entry = record.entry
        cost_s = self._estimate_latency(record, route.name, now)
        cost_s *= 1 + JITTER * self._state.rng.random()
        queued: float = len(record.in_flight) + 1 - entry.slots
        if record.load is not None:
            weight = math.exp((record.load_at - now) / LOAD_DECAY_S)
            cost_s = _add_slowness(cost_s, record.load, weight)
            queued += weight * record.foreign_load
        if queued > 0:
            cost_s *= 1 + queued / entry.slots
        if self._state.is_remote(record):
            penalty_share = (
                REMOTE_PENALTY_SHARE
                if route.scatter is None
                else SHARD_REMOTE_PENALTY_SHARE
            )
            cost_s += penalty_share * route.objective_s
        refusal_cost_s = REFUSAL_PENALTY_SHARE * route.objective_s
        cost_s += refusal_cost_s * record.refusal_rate.read(now)
        if record.has_overdue_attempt(now):
            cost_s += OVERDUE_PENALTY_S
        if _is_last_resort(record, now):
            cost_s += LAST_RESORT_PENALTY_S
        return cost_s

    def _estimate_latency(
        self, record: ReplicaRecord, route: str, now: float
    ) -> float:
        pooled_s = self.get_pooled(route).estimate_s or DEFAULT_LATENCY_S
        window = record.latencies.get(route)
        if window is None or not window.count:
            return pooled_s
        idle_s = now - window.probed_at
        weight = math.exp(-idle_s / ESTIMATE_DECAY_S)
        estimate_s = window.estimate_s
        if window.sample_interval_s > SPARSE_GAP_S:
            estimate_s = window.last_latency_s
        return pooled_s + weight * (estimate_s - pooled_s)


def _is_last_resort(record: ReplicaRecord, now: float) -> bool:
    return record.ejected_until > now or record.unlisted_at is not None


def _add_slowness(cost_s: float, load: ReplicaLoad, weight: float) -> float:
    if load.slowness is None or load.slowness <= 1:
        return cost_s
    return cost_s * (1 + weight * (load.slowness - 1))
