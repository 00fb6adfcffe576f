"""A fake backend server in virtual time."""

import collections
from collections.abc import Callable
import dataclasses
import functools

from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import LegFailed
from bluebellbay.protocol.event import LegRefused
from bluebellbay.protocol.event import LegReplied
from bluebellbay.protocol.event import ServerPolled
from bluebellbay.protocol.leg import Holding
from bluebellbay.protocol.leg import LegRefusal
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.leg import LegRequest
from bluebellbay.protocol.leg import RefusalReason
from bluebellbay.protocol.leg import ServerReport
from bluebellbay_bench.work import NETWORK_ONE_WAY_S
from bluebellbay_bench.work import WorkModel

RUN_QUEUE = 8
Schedule = Callable[[float, Callable[[float], None]], None]
Emit = Callable[[float, Event], None]


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerCondition:
    """What is wrong with a server at the moment.

    :param slow_factor: Service times are multiplied by it.
    :param silent: Takes legs and never answers.
    :param down: Refuses connections.
    :param leaving: Refuses new legs and says so.
    :param stated_load: Load that its endpoints state; none for the truth.
    """

    slow_factor: float = 1.0
    silent: bool = False
    down: bool = False
    leaving: bool = False
    stated_load: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class _Job:
    leg: LegRequest
    timeout_at: float
    done: bool = False
    running: bool = False


class FakeServer:
    """Runs legs in its slots and queues a few more.

    :param name: Name of the server.
    :param service: Name of its service.
    :param slots: Legs that it runs at once.
    :param connect_s: Cost of a new connection in seconds.
    :param holdings: What it holds.
    :param work: Service times.
    :param schedule: Runs a function at a time.
    :param emit: Gives an event to the core at a time.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        slots: int,
        connect_s: float,
        holdings: tuple[Holding, ...],
        work: WorkModel,
        schedule: Schedule,
        emit: Emit,
    ) -> None:
        self.name = name
        self.service = service
        self.holdings = holdings
        self.condition = ServerCondition()
        self.executions: collections.Counter[str] = collections.Counter()
        self._slots = slots
        self._connect_s = connect_s
        self._connections = 0
        self._work = work
        self._schedule = schedule
        self._emit = emit
        self._queue: collections.deque[_Job] = collections.deque()
        self._jobs: dict[str, _Job] = {}
        self._running = 0

    def warm(self, count: int) -> None:
        """Open connections before they are needed.

        :param count: Connections to have at least.
        """
        self._connections = max(self._connections, count)

    def send(self, leg: LegRequest, now: float, timeout_s: float) -> None:
        """Take a leg off the core's hands.

        :param leg: The leg.
        :param now: Present time in seconds.
        :param timeout_s: Seconds after which the client gives up.
        """
        job = _Job(leg=leg, timeout_at=now + timeout_s)
        self._jobs[leg.attempt] = job
        self._schedule(job.timeout_at, lambda at: self._time_out(job, at))
        delay_s = NETWORK_ONE_WAY_S
        if len(self._jobs) > self._connections and not self.condition.down:
            self._connections += 1
            delay_s += self._connect_s
        self._schedule(now + delay_s, lambda at: self._arrive(job, at))

    def cancel(self, attempt: str, now: float) -> None:
        """Take a cancellation.

        :param attempt: Attempt id of the leg.
        :param now: Present time in seconds.
        """
        job = self._jobs.get(attempt)
        if job is not None:
            self._schedule(
                now + NETWORK_ONE_WAY_S, lambda at: self._cancel(job, at)
            )

    def poll(self, now: float) -> None:
        """Take a read of the health endpoint.

        :param now: Present time in seconds.
        """
        report = None
        if not self.condition.down and not self.condition.silent:
            report = ServerReport(
                server=self.name,
                holdings=self.holdings,
                load=self._state_load(),
                leaving=self.condition.leaving,
            )
        self._emit(
            now + 2 * NETWORK_ONE_WAY_S,
            ServerPolled(server=self.name, report=report),
        )

    def restart(self) -> None:
        """Lose everything that runs or waits, and every connection."""
        self._connections = 0
        self._running = 0
        self._queue.clear()
        for job in self._jobs.values():
            job.running = False

    def _state_load(self) -> float:
        if self.condition.stated_load is not None:
            return self.condition.stated_load
        return self._running / self._slots

    def _arrive(self, job: _Job, now: float) -> None:
        if job.done or self.condition.silent:
            return
        if self.condition.down:
            self._fail(job, now, sent=False, reason="refused")
            return
        reason = self._find_refusal(job.leg)
        if reason is not None:
            self._refuse(job, now, reason)
            return
        self._queue.append(job)
        self._run_next(now)

    def _find_refusal(self, leg: LegRequest) -> RefusalReason | None:
        if self.condition.leaving:
            return RefusalReason.LEAVING
        held = [h for h in self.holdings if h.snapshot == leg.snapshot]
        if not held:
            return RefusalReason.SNAPSHOT_GONE
        if not any(h.start < leg.end and leg.start < h.end for h in held):
            return RefusalReason.NOT_HELD
        if self._running >= self._slots and len(self._queue) >= RUN_QUEUE:
            return RefusalReason.OVERLOADED
        return None

    def _run_next(self, now: float) -> None:
        while self._queue and self._running < self._slots:
            job = self._queue.popleft()
            if job.done:
                continue
            self._running += 1
            job.running = True
            self.executions[job.leg.request_id] += 1
            time_s = self.condition.slow_factor * self._work.measure(
                query=job.leg.request_id,
                service=self.service,
                server=self.name,
            )
            self._schedule(now + time_s, functools.partial(self._end, job))

    def _end(self, job: _Job, now: float) -> None:
        if job.done or self.condition.down or self.condition.silent:
            return
        self._release(job, now)
        leg = job.leg
        held = next(h for h in self.holdings if h.start < leg.end)
        reply = LegReply(
            attempt=leg.attempt,
            snapshot=leg.snapshot,
            start=max(leg.start, held.start),
            end=min(leg.end, held.end),
            load=self._state_load(),
            leaving=self.condition.leaving,
        )
        self._finish(job)
        self._emit(
            now + NETWORK_ONE_WAY_S,
            LegReplied(server=self.name, attempt=leg.attempt, reply=reply),
        )

    def _cancel(self, job: _Job, now: float) -> None:
        if job.done:
            return
        if not self.condition.silent:
            self._release(job, now)
        self._fail(job, now, sent=True, reason="cancelled")

    def _time_out(self, job: _Job, now: float) -> None:
        if job.done:
            return
        self._release(job, now)
        self._fail(job, now, sent=True, reason="timeout")

    def _release(self, job: _Job, now: float) -> None:
        if job.running:
            job.running = False
            self._running = max(0, self._running - 1)
        self._schedule(now, self._run_next)

    def _refuse(self, job: _Job, now: float, reason: RefusalReason) -> None:
        self._finish(job)
        refusal = LegRefusal(
            attempt=job.leg.attempt,
            reason=reason,
            load=self._state_load(),
            leaving=self.condition.leaving,
        )
        self._emit(
            now + NETWORK_ONE_WAY_S,
            LegRefused(
                server=self.name, attempt=job.leg.attempt, refusal=refusal
            ),
        )

    def _fail(self, job: _Job, now: float, *, sent: bool, reason: str) -> None:
        self._finish(job)
        self._emit(
            now + NETWORK_ONE_WAY_S,
            LegFailed(
                server=self.name,
                attempt=job.leg.attempt,
                sent=sent,
                reason=reason,
            ),
        )

    def _finish(self, job: _Job) -> None:
        job.done = True
        self._jobs.pop(job.leg.attempt, None)
