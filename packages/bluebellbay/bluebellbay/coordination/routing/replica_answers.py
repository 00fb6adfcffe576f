"""Applies what replicas' answers say about leaving and about pauses.

A replica that is leaving gets no requests until it has another incarnation.
One that asks for a pause is quiet: it gets none until the pause has ended.
"""

from bluebellbay.coordination.routing.attempt import Attempt
from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.pace import MIN_IDLE_S
from bluebellbay.coordination.routing.part import EventHandlers
from bluebellbay.coordination.routing.part import RoutingPart
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.registry import CloseReplicaConnections
from bluebellbay.protocol.replica import ReplicaCondition
from bluebellbay.state.line_limit import LineLimit
from bluebellbay.state.replica import ReplicaRecord


class ReplicaAnswerPart(RoutingPart):
    """Keeps requests from replicas that are leaving or quiet.

    Requests that wait for a connection to one fail as not sent, so that they
    are sent elsewhere; those that were written run to completion.

    :param context: State and services shared by all requests of the node.
    """

    def __init__(self, *, context: RoutingContext) -> None:
        super().__init__(context=context)
        self._quiet: dict[tuple[str, int], ReplicaRecord] = {}
        self._lines = LineLimit()

    def list_handlers(self) -> EventHandlers:
        """Return the handler of each type of event."""
        return {TimerTick: self._handle_time}

    def get_wakeup_time(self) -> float | None:
        """Return the time of the next wake-up, if one is scheduled."""
        if not self._quiet:
            return None
        return min(record.quiet_until for record in self._quiet.values())

    def note_answer(
        self, attempt: Attempt, condition: ReplicaCondition, now: float
    ) -> None:
        """Apply what a replica's answer says about leaving and about a pause.

        :param attempt: The attempt that was answered.
        :param condition: What the answer tells of the replica.
        :param now: Current time in seconds.
        """
        if not condition.leaving and condition.pause_s is None:
            return
        request_id = attempt.leg.task.request.request_id
        # The record may have been replaced since the request was sent.
        record = self.state.replicas.find_same(attempt.record)
        if condition.leaving:
            self._note_leaving(record, request_id, now)
        if condition.pause_s is not None:
            self._note_pause(record, condition.pause_s, request_id, now)
        self.state.replicas.remember(record)
        self._refuse_waiting(record.entry.service, now)

    def _note_leaving(
        self, record: ReplicaRecord, request_id: str, now: float
    ) -> None:
        if record.leaving:
            return
        record.leaving = True
        record.connection_limit = 0
        self.context.emit(CloseReplicaConnections(replica=record.entry))
        self._log(
            "A replica is leaving by its answer; it gets no new requests.",
            record,
            request_id,
            now,
            draining=record.entry.draining,
        )

    def _note_pause(
        self,
        record: ReplicaRecord,
        pause_s: float,
        request_id: str,
        now: float,
    ) -> None:
        """Begin or extend a pause; none is shortened."""
        until = now + pause_s
        if until <= record.quiet_until:
            return
        begins = record.quiet_until <= now
        record.quiet_until = until
        if pause_s >= MIN_IDLE_S:
            # All nodes may come back at the same time.
            record.begin_pace(until)
        self._quiet[record.incarnation] = record
        if record.leaving or record.connection_limit == 0:
            return
        if begins:
            self.context.withdraw_waiting(record)
            self._log(
                "A replica asked for a pause; it is quiet until the end.",
                record,
                request_id,
                now,
                pause_s=round(pause_s, 3),
            )

    def _refuse_waiting(self, service: str, now: float) -> None:
        """Refuse the requests that wait for room if no replica is left."""
        queue = self.context.queues.find(service)
        if queue is None or not queue.waiting_count:
            return
        if self.context.selector.has_usable(service, now):
            return
        for request in queue.waiting:
            queue.end_wait(request, now)

    def _handle_time(self, event: TimerTick, now: float) -> None:
        del event
        for key, record in tuple(self._quiet.items()):
            if record.quiet_until > now:
                continue
            del self._quiet[key]
            if self.state.replicas.find_same(record) is not record:
                continue
            pace = record.pace
            # What a late answer or an ejection began has passed unused.
            if pace is not None and pace.changed_at < record.quiet_until:
                record.begin_pace(record.quiet_until)
            self._log(
                "The pause of a replica has ended.",
                record,
                "",
                now,
                late_s=round(now - record.quiet_until, 3),
            )

    def _log(
        self,
        sentence: str,
        record: ReplicaRecord,
        request_id: str,
        now: float,
        **fields: object,
    ) -> None:
        if not self._lines.try_acquire(now):
            return
        service = record.entry.service
        self.context.log(
            sentence,
            request_id,
            replica=record.entry.replica_id,
            service=service,
            address=record.entry.address,
            started_ms=record.entry.started_ms,
            in_flight=len(record.in_flight),
            usable=self.context.selector.count_usable(service, now),
            suppressed=self._lines.pop_suppressed_count(),
            **fields,
        )
