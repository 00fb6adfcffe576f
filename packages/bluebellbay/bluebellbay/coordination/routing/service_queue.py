"""Requests of this node that wait for room at a service."""

import abc
import collections
import dataclasses

from bluebellbay.coordination.routing.fair_shares import FairShares
from bluebellbay.coordination.routing.queueing import Action
from bluebellbay.coordination.routing.queueing import compute_room
from bluebellbay.coordination.routing.queueing import decide
from bluebellbay.coordination.routing.queueing import QueueDecision
from bluebellbay.coordination.routing.queueing import RequestStanding
from bluebellbay.coordination.routing.queueing import SEND
from bluebellbay.coordination.routing.queueing import ServiceCondition
from bluebellbay.coordination.routing.service_room import ServiceRoom
from bluebellbay.coordination.timer import TimerQueue
from bluebellbay.coordination.timer import TimerTarget
from bluebellbay.state.decaying_average import DecayingAverage
from bluebellbay.state.replica import ReplicaRecord
from bluebellbay.state.router import RouterState

MIN_DISPATCH_INTERVAL_S = 0.001
# Names of the counts.
WAITED = "waited"
SENT_LATER = "sent after a wait"
REFUSED_AT_ONCE = "refused at once"
REFUSED_LATER = "refused after a wait"
# Bounds the expected time until there is room.
MAX_SHARE = 0.9


class QueuedRequest(abc.ABC):
    """A request to a service, as the queue sees it.

    :ivar rank: Priority; 0 is the highest.
    :ivar share_key: Its account, or its route if it has none.
    :ivar wait_until: Unix time in seconds when its wait ends.
    """

    rank: int
    share_key: str
    wait_until: float

    @abc.abstractmethod
    def send(self, now: float) -> None:
        """Send the request, as there is room.

        :param now: Current Unix time in seconds.
        """

    @abc.abstractmethod
    def refuse(self, now: float) -> None:
        """Answer that there is no room.

        :param now: Current Unix time in seconds.
        """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _QueueEntry:
    level: int
    surging: bool
    joined_at: float


class ServiceQueue:
    """Orders the requests of this node to one service while room is short.

    :param state: State of the routing core.
    :param timers: Timers of the requests.
    :param service: Name of the service.
    :param counts: Counts of waits and refusals, which the queue adds to.
    """

    def __init__(
        self,
        *,
        state: RouterState,
        timers: TimerQueue,
        service: str,
        counts: collections.Counter[str],
    ) -> None:
        self.shares = FairShares()
        self._state = state
        self._timers = timers
        self._room = ServiceRoom(state=state, service=service)
        self._sent: set[QueuedRequest] = set()
        self._waiting: dict[QueuedRequest, _QueueEntry] = {}
        self._wakeup: _Wakeup | None = None
        self._counts = counts
        # Share of the recent requests that were refused to their callers.
        self._refused = DecayingAverage()

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    @property
    def waiting(self) -> tuple[QueuedRequest, ...]:
        """Requests that wait."""
        return tuple(self._waiting)

    @property
    def in_flight(self) -> int:
        """Number of requests that replicas have."""
        return len(self._sent)

    def arrive(self, request: QueuedRequest, now: float) -> QueueDecision:
        """Decide on a request that arrived; send, keep or refuse it.

        :param request: The request.
        :param now: Current Unix time in seconds.
        """
        self.shares.record(request.rank, request.share_key, now)
        if not self._waiting and self._room.is_calm(now):
            # Spares the time of a decision that is always the same.
            self._send(request, now)
            return SEND
        return self._apply(request, now)

    def return_refused(
        self, request: QueuedRequest, now: float
    ) -> QueueDecision:
        """Decide on a request that a replica has refused.

        :param request: The request.
        :param now: Current Unix time in seconds.
        """
        self._sent.discard(request)
        return self._apply(request, now)

    def leave(self, request: QueuedRequest, now: float) -> None:
        """Forget a request that has ended, and use its room.

        :param request: The request, which may be unknown.
        :param now: Current Unix time in seconds.
        """
        self._waiting.pop(request, None)
        if request in self._sent:
            self._sent.discard(request)
            self.dispatch(now)

    def record_reply(
        self, record: ReplicaRecord, seconds: float, now: float
    ) -> None:
        """Note that a replica served a request, so that it has room.

        :param record: The replica.
        :param seconds: Seconds that the request took.
        :param now: Current Unix time in seconds.
        """
        self._room.record_reply(record, seconds, now)

    def record_refusal(self, record: ReplicaRecord, now: float) -> None:
        """Note that a replica had no room.

        :param record: The replica.
        :param now: Current Unix time in seconds.
        """
        self._room.record_refusal(record, len(self._sent), now)

    def is_short(self, now: float) -> bool:
        """Tell whether requests met no room lately, or wait for it.

        :param now: Current Unix time in seconds.
        """
        return bool(self._waiting) or self._room.is_short(now)

    def estimate_room(self, now: float) -> float:
        """Estimate when a caller that is refused now would find room.

        With the share of the requests that are refused now, a caller is
        refused some more times. These are as far apart as a request takes, so
        that callers which return don't make the shortage last.

        :param now: Current Unix time in seconds.
        :returns: Seconds.
        """
        ejected_s = self._room.measure_ejection(now)
        if ejected_s > 0:
            return ejected_s
        share = min(MAX_SHARE, self._refused.read(now))
        room_s = compute_room(self._describe(now), ahead=len(self._waiting))
        return max(room_s, self._room.latency_s * share / (1 - share))

    def wake(self, wakeup: "_Wakeup", now: float) -> None:
        """Send the requests that have room by now.

        :param wakeup: The timer, which does nothing if a later one was set.
        :param now: Current Unix time in seconds.
        """
        if wakeup is self._wakeup:
            self._wakeup = None
            self.dispatch(now)

    def dispatch(self, now: float) -> None:
        """Send waiting requests in their order, as far as there is room.

        :param now: Current Unix time in seconds.
        """
        stop_by = self._state.stop_by
        if not self._waiting or (stop_by is not None and now >= stop_by):
            return
        ordered = sorted(
            self._waiting, key=lambda item: self._sort_key(item, now)
        )
        ahead = 0
        for request in ordered:
            # Sending one may end it, which dispatches the others.
            place = self._waiting.get(request)
            if place is None:
                continue
            decision = self._decide(request, place, ahead, now)
            if decision.action is Action.SEND:
                del self._waiting[request]
                self._counts[SENT_LATER] += 1
                self._send(request, now)
                continue
            ahead += 1
            self._schedule(decision, request, now)

    def end_wait(self, request: QueuedRequest, now: float) -> None:
        """Refuse a request whose wait has ended.

        :param request: The request, which waits.
        :param now: Current Unix time in seconds.
        """
        self._waiting.pop(request, None)
        self._counts[REFUSED_LATER] += 1
        self.record_refused(request, now)
        request.refuse(now)

    def record_refused(self, request: QueuedRequest, now: float) -> None:
        """Note that a request was refused to its caller.

        :param request: The request.
        :param now: Current Unix time in seconds.
        """
        self._refused.add(1.0, now)
        self.shares.record_outcome(
            request.rank, request.share_key, served=False
        )

    def record_served(self, request: QueuedRequest, now: float) -> None:
        """Note that a replica served a request.

        :param request: The request.
        :param now: Current Unix time in seconds.
        """
        self._refused.add(0.0, now)
        self.shares.record_outcome(
            request.rank, request.share_key, served=True
        )

    def is_current(self, wakeup: "_Wakeup") -> bool:
        """Tell whether a timer is the one that was set last."""
        return wakeup is self._wakeup

    def _apply(self, request: QueuedRequest, now: float) -> QueueDecision:
        level = 0
        draw = 1.0
        surging = False
        # On a calm day nobody gives way, and nothing has to be computed.
        if self._waiting or self._room.needs_order(now):
            level = self.shares.find_level(request.rank, now)
            surging = self.shares.is_surging(request.share_key, now)
        if level or surging:
            draw = self._state.rng.random()
        place = _QueueEntry(level=level, surging=surging, joined_at=now)
        ahead = self._count_ahead(request, place, now)
        decision = self._decide(request, place, ahead, now, draw)
        if decision.action is Action.SEND:
            self._send(request, now)
        elif decision.action is Action.WAIT:
            self._waiting[request] = place
            self._counts[WAITED] += 1
            self._schedule(decision, request, now)
        else:
            self._counts[REFUSED_AT_ONCE] += 1
            self.record_refused(request, now)
            request.refuse(now)
        return decision

    def _send(self, request: QueuedRequest, now: float) -> None:
        self._sent.add(request)
        self.shares.record_sent(request.share_key)
        self._room.hold_next(now)
        request.send(now)

    def _decide(
        self,
        request: QueuedRequest,
        place: _QueueEntry,
        ahead: int,
        now: float,
        draw: float = 1.0,
    ) -> QueueDecision:
        standing = RequestStanding(
            level=place.level,
            surging=place.surging,
            ahead=ahead,
            left_s=request.wait_until - now,
            draw=draw,
        )
        return decide(standing, self._describe(now))

    def _describe(self, now: float) -> ServiceCondition:
        return self._room.describe(len(self._sent), now)

    def _count_ahead(
        self, request: QueuedRequest, place: _QueueEntry, now: float
    ) -> int:
        if not self._waiting:
            return 0
        own = self._build_key(request, place, now)
        return sum(self._sort_key(other, now) < own for other in self._waiting)

    def _sort_key(
        self, request: QueuedRequest, now: float
    ) -> tuple[int, float, float]:
        return self._build_key(request, self._waiting[request], now)

    def _build_key(
        self, request: QueuedRequest, place: _QueueEntry, now: float
    ) -> tuple[int, float, float]:
        use = self.shares.measure_use(request.share_key, now)
        return (place.level, use, place.joined_at)

    def _schedule(
        self, decision: QueueDecision, request: QueuedRequest, now: float
    ) -> None:
        at = now + max(decision.wait_s, MIN_DISPATCH_INTERVAL_S)
        if at >= request.wait_until:
            return
        if self._wakeup is None or at < self._wakeup.due_at:
            self._wakeup = _Wakeup(queue=self, due_at=at)
            self._timers.add(at, self._wakeup)


class _Wakeup(TimerTarget):
    __slots__ = ("_queue", "due_at")

    def __init__(self, *, queue: ServiceQueue, due_at: float) -> None:
        self._queue = queue
        self.due_at = due_at

    @property
    def is_finished(self) -> bool:
        return not self._queue.is_current(self)

    def handle_timeout(self, now: float) -> None:
        self._queue.wake(self, now)


class ServiceQueueTable:
    """Queues by service.

    :param state: State of the routing core.
    :param timers: Timers of the requests.
    """

    def __init__(self, *, state: RouterState, timers: TimerQueue) -> None:
        self._state = state
        self._timers = timers
        self._counts: collections.Counter[str] = collections.Counter()
        self._queues: dict[str, ServiceQueue] = {}

    def get(self, service: str) -> ServiceQueue:
        """Return the queue of a service, and create it if needed.

        :param service: Name of the service.
        """
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = ServiceQueue(
                state=self._state,
                timers=self._timers,
                service=service,
                counts=self._counts,
            )
        return queue

    def find(self, service: str) -> ServiceQueue | None:
        """Return the queue of a service, if requests went there.

        :param service: Name of the service.
        """
        return self._queues.get(service)

    def take_counts(self) -> dict[str, int]:
        """Return and reset the counts of waits and refusals."""
        counts = dict(self._counts)
        self._counts.clear()
        return counts

    def count_waiting(self) -> int:
        """Count the requests that wait, over all services."""
        return sum(queue.waiting_count for queue in self._queues.values())
