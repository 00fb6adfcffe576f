"""What this node knows of the room at a service, by its replicas' answers."""

import dataclasses
import math

from bluebellbay.coordination.routing.queueing import Refusal
from bluebellbay.coordination.routing.queueing import ServiceCondition
from bluebellbay.state.decaying_average import DecayingAverage
from bluebellbay.state.replica import ReplicaRecord
from bluebellbay.state.router import RouterState

MIN_LIMIT = 1.0
DECREASE_FACTOR = 0.8
# Requests that are refused together count as one sign of shortage.
MIN_DECREASE_INTERVAL_S = 0.1
# A refusal says nothing about room that is further away than this.
RECOVERY_S = 1.0
MIN_MEMORY_S = 0.05
DEFAULT_LATENCY_S = 0.05
LATENCY_WEIGHT = 0.2
# The share of requests that met no room has decayed after this time.
CALM_S = 15.0
# Expected time until a replica is asked again, as a share of the mean time
# between the ends of its requests when all of its slots are busy.
GAP_FACTOR = 0.5
# From this share of requests that met no room, none is hedged.
HEDGE_SHORTAGE = 0.05
# Below this share of requests that met no room, no request gives way.
MIN_SHORTAGE = 0.02
# Refusals in a row that double the expected time until there is room.
MAX_DOUBLINGS = 3
MAX_GAP_S = 0.25
# Nodes that were refused together must not return together.
GAP_SPREAD = 0.5


class ConcurrencyLimit:
    """Limit on the concurrent requests of this node to one service.

    There is none until all replicas have refused. Then it is at most the
    number in flight. It grows by one in each time that a request takes, so
    also without answers, and ends ``RECOVERY_S`` after the last refusal.
    """

    def __init__(self) -> None:
        self._limit = math.inf
        self._updated_at = 0.0
        self._refused_at = -math.inf
        self._decreased_at = -math.inf

    def read(self, latency_s: float, now: float) -> float:
        """Return the limit; infinite if there is none.

        :param latency_s: Seconds that a request takes.
        :param now: Current Unix time in seconds.
        """
        if now - self._refused_at >= RECOVERY_S:
            self._limit = math.inf
        else:
            self._limit += max(0.0, now - self._updated_at) / latency_s
        self._updated_at = now
        return self._limit

    def record_refusal(
        self, in_flight: int, latency_s: float, now: float
    ) -> None:
        """Lower the limit, as no replica has room.

        :param in_flight: Requests in flight, with the refused one.
        :param latency_s: Seconds that a request takes.
        :param now: Current Unix time in seconds.
        """
        limit = min(self.read(latency_s, now), float(in_flight))
        self._refused_at = now
        if now >= self._decreased_at + MIN_DECREASE_INTERVAL_S:
            self._decreased_at = now
            limit *= DECREASE_FACTOR
        self._limit = max(MIN_LIMIT, limit)


@dataclasses.dataclass(slots=True, kw_only=True)
class _RefusalStreak:
    """Refusals in a row of one incarnation of a replica."""

    refused_at: float = 0.0
    held_from: float = 0.0
    gap_s: float = 0.0
    count: int = 0


class ServiceRoom:
    """Learns from refusals and replies when a service has room.

    :param state: State of the routing core.
    :param service: Name of the service.
    :ivar latency_s: Seconds that a request takes.
    """

    def __init__(self, *, state: RouterState, service: str) -> None:
        self.latency_s = DEFAULT_LATENCY_S
        self._state = state
        self._service = service
        self._limit = ConcurrencyLimit()
        self._streaks: dict[tuple[str, int], _RefusalStreak] = {}
        self._shortage_at = -math.inf
        # Share of the recent requests that met no room.
        self._shortage = DecayingAverage()

    def is_calm(self, now: float) -> bool:
        """Tell whether no request met a lack of room for some time.

        :param now: Current Unix time in seconds.
        """
        return now - self._shortage_at >= CALM_S

    def needs_order(self, now: float) -> bool:
        """Tell whether requests met no room lately, so that some give way.

        :param now: Current Unix time in seconds.
        """
        return self._shortage.read(now) >= MIN_SHORTAGE

    def record_reply(
        self, record: ReplicaRecord, seconds: float, now: float
    ) -> None:
        """Note that a replica served a request, so that it has room.

        :param seconds: Seconds that the request took.
        :param now: Current Unix time in seconds.
        """
        self.latency_s += LATENCY_WEIGHT * (seconds - self.latency_s)
        self._shortage.add(0.0, now)
        if self._streaks:
            self._streaks.pop(record.incarnation, None)

    def record_refusal(
        self, record: ReplicaRecord, in_flight: int, now: float
    ) -> None:
        """Note that a replica had no room.

        :param in_flight: Requests of this node in flight, with this one.
        :param now: Current Unix time in seconds.
        """
        shortage = self._streaks.get(record.incarnation)
        if shortage is None or now - shortage.refused_at >= RECOVERY_S:
            shortage = self._streaks[record.incarnation] = _RefusalStreak()
        gap_s = GAP_FACTOR * self.latency_s / max(1, record.entry.slots)
        gap_s *= 2 ** min(shortage.count, MAX_DOUBLINGS)
        spread = self._state.rng.uniform(1 - GAP_SPREAD, 1 + GAP_SPREAD)
        shortage.gap_s = min(MAX_GAP_S, gap_s) * spread
        shortage.refused_at = shortage.held_from = now
        shortage.count += 1
        self._shortage_at = now
        if self._list_refusals(now):
            self._shortage.add(1.0, now)
            self._limit.record_refusal(max(1, in_flight), self.latency_s, now)

    def is_short(self, now: float) -> bool:
        """Tell whether requests met no room lately.

        :param now: Current Unix time in seconds.
        """
        if now - self._shortage_at < RECOVERY_S:
            return True
        return self._shortage.read(now) >= HEDGE_SHORTAGE

    def hold_next(self, now: float) -> None:
        """Let the expected room of one replica serve one request only.

        :param now: Current Unix time in seconds.
        """
        if not self._streaks:
            return
        shortages = [
            self._streaks[record.incarnation]
            for record in self._list_usable(now)
            if record.incarnation in self._streaks
        ]
        if self._list_refusals(now):
            first = min(shortages, key=lambda one: one.held_from + one.gap_s)
            first.held_from = now

    def describe(self, in_flight: int, now: float) -> ServiceCondition:
        """Describe what is known of the room.

        :param in_flight: Requests of this node that replicas have.
        :param now: Current Unix time in seconds.
        """
        if self._streaks and now - self._shortage_at >= RECOVERY_S:
            self._streaks.clear()
        return ServiceCondition(
            in_flight=in_flight,
            limit=self._limit.read(self.latency_s, now),
            refusals=self._list_refusals(now) if self._streaks else (),
            shortage=self._shortage.read(now),
            end_interval_s=self.latency_s / max(1, in_flight),
        )

    def _list_refusals(self, now: float) -> tuple[Refusal, ...]:
        """List the last refusals if all usable replicas refused lately.

        A full replica has ended about as many requests as it has slots in the
        time that one takes, so an older refusal says nothing of the present.
        """
        refusals = []
        memory_s = min(RECOVERY_S, max(MIN_MEMORY_S, self.latency_s))
        for record in self._list_usable(now):
            shortage = self._streaks.get(record.incarnation)
            if shortage is None or now - shortage.refused_at >= memory_s:
                return ()
            refusals.append(
                Refusal(age_s=now - shortage.held_from, gap_s=shortage.gap_s)
            )
        return tuple(refusals)

    def _list_usable(self, now: float) -> list[ReplicaRecord]:
        return [
            record
            for record in self._state.replicas.list_service(self._service)
            if self._state.is_usable(record, now)
            and record.ejected_until <= now
        ]

    def measure_ejection(self, now: float) -> float:
        """Return the seconds until a replica is no longer ejected.

        :param now: Current Unix time in seconds.
        :returns: 0 if one is not; ``RECOVERY_S`` if none may be used.
        """
        if self._list_usable(now):
            return 0.0
        return min(
            (
                record.ejected_until - now
                for record in self._state.replicas.list_service(self._service)
                if self._state.is_usable(record, now)
            ),
            default=RECOVERY_S,
        )
