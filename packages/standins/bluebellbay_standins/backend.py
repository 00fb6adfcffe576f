"""A stand-in for a backend server."""

import dataclasses
import random
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.server import Request

from bluebellbay.protocol.codec import decode_json
from bluebellbay.protocol.key_range import KeyRange
from bluebellbay.protocol.leg import LegRefusal
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.leg import LegRequest
from bluebellbay.protocol.leg import RefusalReason
from bluebellbay.protocol.leg import ServerReport
from bluebellbay.state.coverage import merge_ranges
from bluebellbay_standins.behaviour import BackendBehaviour
from bluebellbay_standins.behaviour import BackendCounts
from bluebellbay_standins.clock import Clock
from bluebellbay_standins.row import list_rows
from bluebellbay_standins.run_queue import Run
from bluebellbay_standins.run_queue import RunEnd
from bluebellbay_standins.run_queue import RunQueue
from bluebellbay_standins.run_queue import RunState
from bluebellbay_standins.site import abort_connection
from bluebellbay_standins.site import read_body
from bluebellbay_standins.site import write_json

MS_PER_S = 1000
FOREIGN_ATTEMPT = "attempt-of-another-request"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancellation:
    """Body of a call that cancels a leg.

    :param attempt: The leg's attempt id.
    """

    attempt: str


class BackendServer:
    """Serves legs over HTTP.

    :param name: Name of its VM.
    :param index: Index that it serves.
    :param service: Service that it belongs to.
    :param clock: Source of time.
    :param rng: Source of running times and of what is shed.
    :param behaviour: What it is told to do at first.
    """

    app = Klein()

    def __init__(
        self,
        *,
        name: str,
        index: str,
        service: str,
        clock: Clock,
        rng: random.Random,
        behaviour: BackendBehaviour,
    ) -> None:
        self.name = name
        self.index = index
        self.service = service
        self.behaviour = behaviour
        self.counts = BackendCounts()
        self._clock = clock
        self._rng = rng
        self._queue = RunQueue()
        self._started_at = clock.seconds()
        self._leaving_since: float | None = None
        self.change_behaviour(behaviour)

    def change_behaviour(self, behaviour: BackendBehaviour) -> None:
        """Put a behaviour in force.

        :param behaviour: The behaviour.
        """
        if self.behaviour.down and not behaviour.down:
            self._started_at = self._clock.seconds()
        if behaviour.leaving and self._leaving_since is None:
            self._leaving_since = self._clock.seconds()
        if not behaviour.leaving:
            self._leaving_since = None
        self.behaviour = behaviour
        self._fill_slots()

    def drop_runs(self) -> None:
        """End every leg, as the end of the process does."""
        for run in (*self._queue.waiting, *self._queue.running.values()):
            self._end(run, RunEnd.CANCELLED_RUNNING)

    @app.route("/v1/leg", methods=["POST"])
    async def serve_leg(self, request: Request) -> bytes:
        """Answer a leg once it has run, or with a refusal."""
        body = decode_json(read_body(request), LegRequest)
        if body.is_error():
            return write_json(request, {"error": body.error.reason}, 400)
        leg = body.ok
        self._count_arrival()
        reason = self._find_refusal(leg)
        held = self._find_held(leg)
        if reason is not None or held is None:
            return self._refuse(request, leg, reason or RefusalReason.NOT_HELD)
        now = self._clock.seconds()
        run = Run(
            leg=leg,
            deadline=now + leg.deadline_ms / MS_PER_S,
            key_range=held,
        )
        self._queue.waiting.append(run)
        self._fill_slots()
        if run.state is RunState.QUEUED:
            run.timer = self._clock.callLater(
                run.deadline - now, self._end, run, RunEnd.REFUSED
            )
        end = await run.ended
        if end is RunEnd.DONE:
            return self._reply(request, run)
        if end in (RunEnd.REFUSED, RunEnd.CANCELLED_QUEUED):
            reason = self._find_refusal(leg) or RefusalReason.DEADLINE
            return self._refuse(request, leg, reason)
        return write_json(request, {"error": end.name.lower()}, 503)

    @app.route("/v1/cancel", methods=["POST"])
    def cancel_leg(self, request: Request) -> bytes:
        """Cancel a leg, whether it waits or runs."""
        body = decode_json(read_body(request), Cancellation)
        if body.is_error():
            return write_json(request, {"error": body.error.reason}, 400)
        run = self._queue.find(body.ok.attempt)
        if run is None:
            return write_json(request, {})
        if run.state is RunState.QUEUED:
            self.counts.cancelled_queued += 1
            self._end(run, RunEnd.CANCELLED_QUEUED)
        else:
            self.counts.cancelled_running += 1
            self._end(run, RunEnd.CANCELLED_RUNNING)
        return write_json(request, {})

    @app.route("/v1/health", methods=["GET"])
    async def report_health(self, request: Request) -> bytes:
        """Answer with a report, which may be told to mislead."""
        self.counts.polls += 1
        said = self.behaviour
        if said.health_hangs:
            await Deferred()
        holdings = said.holdings
        if said.said_holdings is not None:
            holdings = said.said_holdings
        leaving = said.leaving
        if said.said_leaving is not None:
            leaving = said.said_leaving
        report = ServerReport(
            server=self.name,
            holdings=holdings,
            load=self._measure_load(),
            leaving=leaving,
        )
        return write_json(request, report)

    def _count_arrival(self) -> None:
        self.counts.legs += 1
        if self._leaving_since is None:
            return
        self.counts.legs_while_leaving += 1
        self.counts.last_leg_after_leaving_s = (
            self._clock.seconds() - self._leaving_since
        )

    def _find_refusal(self, leg: LegRequest) -> RefusalReason | None:
        if self.behaviour.leaving:
            return RefusalReason.LEAVING
        if self._has_expired(leg):
            return RefusalReason.EXPIRED
        if leg.deadline_ms <= 0:
            return RefusalReason.DEADLINE
        if self._find_held(leg) is None:
            return self._explain_not_held(leg)
        if self._is_overloaded():
            return RefusalReason.OVERLOADED
        return None

    def _explain_not_held(self, leg: LegRequest) -> RefusalReason:
        held = {item.snapshot for item in self.behaviour.holdings}
        if leg.snapshot in held:
            return RefusalReason.NOT_HELD
        return RefusalReason.SNAPSHOT_GONE

    def _is_overloaded(self) -> bool:
        if len(self._queue.waiting) >= self.behaviour.queue_limit:
            return True
        return self._rng.random() < self.behaviour.shed_share

    def _has_expired(self, leg: LegRequest) -> bool:
        if leg.expires_at is None:
            return False
        return self._clock.seconds() >= leg.expires_at

    def _find_held(self, leg: LegRequest) -> KeyRange | None:
        held = merge_ranges(
            KeyRange(start=item.start, end=item.end)
            for item in self.behaviour.holdings
            if item.snapshot == leg.snapshot
        )
        shared = [
            KeyRange(
                start=max(item.start, leg.start), end=min(item.end, leg.end)
            )
            for item in held
            if max(item.start, leg.start) < min(item.end, leg.end)
        ]
        return max(
            shared, key=lambda item: item.end - item.start, default=None
        )

    def _fill_slots(self) -> None:
        while run := self._queue.start_next(self.behaviour.slots):
            self._start(run)

    def _start(self, run: Run) -> None:
        now = self._clock.seconds()
        if run.timer is not None and run.timer.active():
            run.timer.cancel()
        held = self._find_held(run.leg)
        overdue = now >= run.deadline or self._has_expired(run.leg)
        if held is None or overdue:
            self._queue.remove(run)
            run.finish(RunEnd.REFUSED)
            return
        run.key_range = held
        counts = self.counts
        request_id = run.leg.request_id
        counts.executions += 1
        counts.executions_by_request[request_id] = (
            counts.executions_by_request.get(request_id, 0) + 1
        )
        counts.running = len(self._queue.running)
        counts.most_running = max(counts.most_running, counts.running)
        duration_s = self._draw_duration()
        if run.leg.repeatable and now + duration_s > run.deadline:
            run.timer = self._clock.callLater(
                run.deadline - now, self._end, run, RunEnd.OVERDUE
            )
            return
        run.timer = self._clock.callLater(
            duration_s, self._end, run, RunEnd.DONE
        )

    def _end(self, run: Run, end: RunEnd) -> None:
        self._queue.remove(run)
        self.counts.running = len(self._queue.running)
        if end is RunEnd.OVERDUE:
            self.counts.overdue += 1
        run.finish(end)
        self._fill_slots()

    def _draw_duration(self) -> float:
        behaviour = self.behaviour
        median_s = behaviour.median_ms / MS_PER_S
        drawn = median_s * self._rng.lognormvariate(0.0, behaviour.spread)
        return drawn * behaviour.straggle_factor * self._measure_coldness()

    def _measure_coldness(self) -> float:
        behaviour = self.behaviour
        age_s = self._clock.seconds() - self._started_at
        if age_s >= behaviour.cold_s:
            return 1.0
        left = 1.0 - age_s / behaviour.cold_s
        return 1.0 + (behaviour.cold_factor - 1.0) * left

    def _measure_load(self) -> float:
        if self.behaviour.said_load is not None:
            return self.behaviour.said_load
        return len(self._queue.running) / self.behaviour.slots

    def _refuse(
        self, request: Request, leg: LegRequest, reason: RefusalReason
    ) -> bytes:
        refused = self.counts.refused
        refused[reason.value] = refused.get(reason.value, 0) + 1
        refusal = LegRefusal(
            attempt=leg.attempt,
            reason=reason,
            load=self._measure_load(),
            leaving=self.behaviour.leaving,
        )
        return write_json(request, refusal, 409)

    def _reply(self, request: Request, run: Run) -> bytes:
        if self._take_fault("lose_replies"):
            abort_connection(request)
            return b""
        if self._take_fault("failed_replies"):
            return write_json(request, {"error": "failed"}, 500)
        attempt = run.leg.attempt
        if self._take_fault("foreign_replies"):
            attempt = FOREIGN_ATTEMPT
        body = write_json(request, self._build_reply(run, attempt))
        if self._take_fault("truncate_replies"):
            return self._cut_short(request, body)
        return body

    def _build_reply(self, run: Run, attempt: str) -> LegReply:
        key_range = run.key_range
        return LegReply(
            attempt=attempt,
            snapshot=run.leg.snapshot,
            start=key_range.start,
            end=key_range.end,
            rows=list_rows(
                key_range=key_range,
                index=self.index,
                snapshot=run.leg.snapshot,
                request_id=run.leg.request_id,
            ),
            load=self._measure_load(),
            leaving=self.behaviour.leaving,
        )

    def _take_fault(self, name: str) -> bool:
        left = getattr(self.behaviour, name)
        if left <= 0:
            return False
        changes: dict[str, Any] = {name: left - 1}
        self.behaviour = dataclasses.replace(self.behaviour, **changes)
        return True

    def _cut_short(self, request: Request, body: bytes) -> bytes:
        request.setHeader(b"content-length", str(len(body)).encode())
        request.write(body[: len(body) // 2])
        request.channel.loseConnection()
        return b""
