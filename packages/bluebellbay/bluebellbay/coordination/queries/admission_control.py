"""Admits requests by rank while the servers' slots are scarce."""

import heapq
import itertools

from bluebellbay.coordination.queries.leg import RequestExecution
from bluebellbay.coordination.timer import TimerQueue
from bluebellbay.coordination.timer import TimerTarget
from bluebellbay.protocol.peer import PeerStatus
from bluebellbay.state.node import NodeState

RANK_LIMIT_DECAY = 0.9
SLOT_CACHE_TTL_S = 0.25
MIN_THROTTLE_FACTOR = 0.3
THROTTLE_DECREASE = 0.95  # applied for each leg refused as overloaded
THROTTLE_RECOVERY_PER_S = 0.2


class QueuedRequest(TimerTarget):
    """A request that waits to be admitted.

    :param execution: The request's execution, which has not started.
    :param rank: Its rank, counted from the lowest rank number in use.
    :param controller: The admission controller that queued it.
    """

    __slots__ = ("controller", "dequeued", "rank", "execution")

    def __init__(
        self,
        *,
        execution: RequestExecution,
        rank: int,
        controller: "AdmissionController",
    ) -> None:
        self.execution = execution
        self.rank = rank
        self.controller = controller
        self.dequeued = False

    @property
    def is_finished(self) -> bool:
        """Whether it has left the queue."""
        return self.dequeued

    def handle_timeout(self, now: float) -> None:
        """Shed the request, as its longest wait has passed.

        :param now: Current Unix time in seconds.
        """
        self.controller.shed(self)


class AdmissionController:
    """Queues and sheds the requests of one index, higher rank numbers first.

    The first rank may have ``first_rank_slots`` times as many legs in flight
    as this node's share of the servers' slots. The rank after it is limited
    to ``lower_rank_slots`` times that share, each further one to a tenth
    less. While servers refuse legs as overloaded, a throttle factor lowers
    the limits of all ranks but the first. While the index has no usable
    slots, every request is admitted.

    :param state: The node's shared state.
    :param index: Name of the index.
    :param timers: Timers of the query part.
    """

    def __init__(
        self, *, state: NodeState, index: str, timers: TimerQueue
    ) -> None:
        self.outstanding = 0
        self._state = state
        self._policy = state.settings.policy
        self._index = index
        self._timers = timers
        self._shed: list[RequestExecution] = []
        self._queue: list[tuple[int, int, QueuedRequest]] = []
        self._order = itertools.count()
        self._slots = 0.0
        self._measured_at = float("-inf")
        self._throttle_factor = 1.0
        self._throttled_at = 0.0

    def admit(self, execution: RequestExecution, now: float) -> bool:
        """Admit a request that has just arrived, or queue it.

        :param execution: Its execution.
        :param now: Current Unix time in seconds.
        :returns: Whether it may start now; if not, it is queued.
        """
        if not self._policy.admission_by_rank:
            return True
        rank = execution.profile.rank - self._find_first_rank()
        if not self._has_queued_ahead(rank) and self._has_free_slot(rank, now):
            return True
        queued = QueuedRequest(execution=execution, rank=rank, controller=self)
        heapq.heappush(self._queue, (rank, next(self._order), queued))
        wait_s = self._policy.admission_wait * (execution.deadline - now)
        self._timers.add(now + wait_s, queued)
        return False

    def pop_admitted(self, now: float) -> RequestExecution | None:
        """Remove the next request that may start now from the queue.

        :param now: Current Unix time in seconds.
        :returns: Its execution, or ``None`` if no request may start.
        """
        self._discard_dequeued()
        if not self._queue or not self._has_free_slot(self._queue[0][0], now):
            return None
        queued = heapq.heappop(self._queue)[2]
        queued.dequeued = True
        return queued.execution

    def shed(self, queued: QueuedRequest) -> None:
        """Remove a request from the queue, to be refused as overloaded.

        :param queued: The request.
        """
        queued.dequeued = True
        self._shed.append(queued.execution)

    def pop_shed(self) -> list[RequestExecution]:
        """Return the executions shed since the last call, and clear them."""
        if not self._shed:
            return self._shed
        shed = self._shed
        self._shed = []
        return shed

    def remove(self, execution: RequestExecution) -> bool:
        """Remove a request whose caller has disconnected.

        :param execution: Its execution.
        :returns: Whether it was queued.
        """
        for _, _, queued in self._queue:
            if queued.execution is execution and not queued.dequeued:
                queued.dequeued = True
                return True
        return False

    def record_overload(self, now: float) -> None:
        """Lower the throttle factor, as a server refused for overload.

        :param now: Current Unix time in seconds.
        """
        factor = self._compute_throttle_factor(now)
        self._throttle_factor = max(
            MIN_THROTTLE_FACTOR, THROTTLE_DECREASE * factor
        )
        self._throttled_at = now

    def _has_queued_ahead(self, rank: int) -> bool:
        self._discard_dequeued()
        return bool(self._queue) and self._queue[0][0] <= rank

    def _discard_dequeued(self) -> None:
        while self._queue and self._queue[0][2].dequeued:
            heapq.heappop(self._queue)

    def _has_free_slot(self, rank: int, now: float) -> bool:
        slots = self._measure_slots(now)
        if not slots:
            return True
        if rank <= 0:
            return self.outstanding < self._policy.first_rank_slots * slots
        limit = self._policy.lower_rank_slots * RANK_LIMIT_DECAY ** (rank - 1)
        return (
            self.outstanding
            < limit * slots * self._compute_throttle_factor(now)
        )

    def _compute_throttle_factor(self, now: float) -> float:
        recovered = THROTTLE_RECOVERY_PER_S * (now - self._throttled_at)
        return min(1.0, self._throttle_factor + recovered)

    def _measure_slots(self, now: float) -> float:
        if now - self._measured_at < SLOT_CACHE_TTL_S:
            return self._slots
        self._measured_at = now
        slots = sum(
            record.slots
            for record in self._state.servers.servers.values()
            if record.index == self._index
            and not record.leaving
            and record.ejected_until <= now
        )
        self._slots = slots / self._count_live_nodes()
        return self._slots

    def _count_live_nodes(self) -> int:
        gone = (PeerStatus.DEAD, PeerStatus.LEFT)
        peers = self._state.fleet.peers.values()
        return 1 + sum(1 for peer in peers if peer.status not in gone)

    def _find_first_rank(self) -> int:
        document = self._state.configuration.document
        if document is None:
            return 0
        return min(
            record.profile.rank
            for record in document.profiles
            if record.profile is not None
        )
