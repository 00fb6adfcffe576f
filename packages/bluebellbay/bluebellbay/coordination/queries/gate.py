"""Admits requests by rank while slots are short, before any work is done."""

import heapq
import itertools

from bluebellbay.coordination.queries.leg import RequestExecution
from bluebellbay.coordination.timer import Timed
from bluebellbay.coordination.timer import TimerQueue
from bluebellbay.protocol.peer import PeerStatus
from bluebellbay.state.node import NodeState

NEXT_RANK_FACTOR = 0.9
CAPACITY_AGE_S = 0.25
LEAST_TRUST = 0.3
DISTRUST_FACTOR = 0.95
TRUST_PER_S = 0.2


class Waiting(Timed):
    """A request that waits to be admitted.

    :param execution: The request's run, which has not started.
    :param rank: Its rank, counted from the first one in use.
    :param gate: The gate that it waits at.
    """

    __slots__ = ("gate", "over", "rank", "execution")

    def __init__(
        self, *, execution: RequestExecution, rank: int, gate: "AdmissionGate"
    ) -> None:
        self.execution = execution
        self.rank = rank
        self.gate = gate
        self.over = False

    @property
    def is_over(self) -> bool:
        """Whether it no longer waits."""
        return self.over

    def wake(self, now: float) -> None:
        """Shed the request, as it has waited for too long.

        :param now: Present time in seconds.
        """
        self.gate.shed(self)


class AdmissionGate:
    """Holds back and sheds the requests of one index, lower ranks first.

    The first rank may fill the slots and a queue of the same length at the
    servers. The others must leave a part of the slots free for it, and a
    larger one while servers refuse for overload.

    :param state: What the node knows.
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
        self._queue: list[tuple[int, int, Waiting]] = []
        self._order = itertools.count()
        self._slots = 0.0
        self._measured_at = float("-inf")
        self._trust = 1.0
        self._trusted_at = 0.0

    def admit(self, execution: RequestExecution, now: float) -> bool:
        """Take a request that has just arrived.

        :param execution: Its run.
        :param now: Present time in seconds.
        :returns: Whether it may start; if not it waits.
        """
        if not self._policy.admission_by_rank:
            return True
        rank = execution.profile.rank - self._find_first_rank()
        if not self._is_blocked(rank) and self._has_room(rank, now):
            return True
        waiting = Waiting(execution=execution, rank=rank, gate=self)
        heapq.heappush(self._queue, (rank, next(self._order), waiting))
        wait_s = self._policy.admission_wait * (execution.deadline - now)
        self._timers.add(now + wait_s, waiting)
        return False

    def pop_admitted(self, now: float) -> RequestExecution | None:
        """Take the next request that may start now.

        :param now: Present time in seconds.
        :returns: Its run, or none.
        """
        self._drop_stale()
        if not self._queue or not self._has_room(self._queue[0][0], now):
            return None
        waiting = heapq.heappop(self._queue)[2]
        waiting.over = True
        return waiting.execution

    def shed(self, waiting: Waiting) -> None:
        """Give a waiting request up.

        :param waiting: The request.
        """
        waiting.over = True
        self._shed.append(waiting.execution)

    def pop_shed(self) -> list[RequestExecution]:
        """Take the runs that were given up since the last call."""
        if not self._shed:
            return self._shed
        shed = self._shed
        self._shed = []
        return shed

    def remove(self, execution: RequestExecution) -> bool:
        """Forget a request whose caller has gone.

        :param execution: Its run.
        :returns: Whether it was waiting.
        """
        for _, _, waiting in self._queue:
            if waiting.execution is execution and not waiting.over:
                waiting.over = True
                return True
        return False

    def note_overload(self, now: float) -> None:
        """Note that a server refused for overload.

        :param now: Present time in seconds.
        """
        trust = self._measure_trust(now)
        self._trust = max(LEAST_TRUST, DISTRUST_FACTOR * trust)
        self._trusted_at = now

    def _is_blocked(self, rank: int) -> bool:
        self._drop_stale()
        return bool(self._queue) and self._queue[0][0] <= rank

    def _drop_stale(self) -> None:
        while self._queue and self._queue[0][2].over:
            heapq.heappop(self._queue)

    def _has_room(self, rank: int, now: float) -> bool:
        slots = self._measure_slots(now)
        if not slots:
            return True
        if rank <= 0:
            return self.outstanding < self._policy.first_rank_slots * slots
        limit = self._policy.lower_rank_slots * NEXT_RANK_FACTOR ** (rank - 1)
        return self.outstanding < limit * slots * self._measure_trust(now)

    def _measure_trust(self, now: float) -> float:
        regained = TRUST_PER_S * (now - self._trusted_at)
        return min(1.0, self._trust + regained)

    def _measure_slots(self, now: float) -> float:
        if now - self._measured_at < CAPACITY_AGE_S:
            return self._slots
        self._measured_at = now
        slots = sum(
            record.slots
            for record in self._state.servers.servers.values()
            if record.index == self._index
            and not record.leaving
            and record.ejected_until <= now
        )
        self._slots = slots / self._count_nodes()
        return self._slots

    def _count_nodes(self) -> int:
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
