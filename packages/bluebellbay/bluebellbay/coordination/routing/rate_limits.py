"""Follows the rate limits that replicas name in their answers."""

from typing import TYPE_CHECKING

from bluebellbay.coordination.routing.attempt import Attempt
from bluebellbay.protocol.replica import ReplicaCondition
from bluebellbay.state.line_limit import LineLimit
from bluebellbay.state.rate_limit import RateLimitNotice
from bluebellbay.state.rate_limit import RateLimitRecord
from bluebellbay.state.rate_limit import WINDOW_S
from bluebellbay.state.replica import ReplicaRecord

if TYPE_CHECKING:
    from bluebellbay.coordination.routing.context import RoutingContext

# Who told what was learnt, if it was the replica itself.
REPLICA_SOURCE = "replica"


class RateLimitTracker:
    """Learns when a replica's limit begins, changes and ends.

    :param context: State and services shared by all requests of the node.
    """

    def __init__(self, *, context: "RoutingContext") -> None:
        self._context = context
        self._lines = LineLimit()

    def note_answer(
        self, attempt: Attempt, condition: ReplicaCondition, now: float
    ) -> None:
        """Apply what a replica's answer says of its rate limit.

        An answer without a limit ends one only if its request was sent after
        the limit was last named: answers may overtake each other.

        :param attempt: The attempt that was answered.
        :param condition: What the answer tells of the replica.
        :param now: Current time in seconds.
        """
        names_limit = condition.rate_per_s is not None
        if condition.rate_unreadable:
            return
        if not names_limit and attempt.record.limit is None:
            return
        record = self._context.state.replicas.find_same(attempt.record)
        limit = record.limit
        if not names_limit and (
            limit is None or attempt.sent_at < limit.notice.heard_at
        ):
            return
        notice = RateLimitNotice(per_s=condition.rate_per_s, heard_at=now)
        request_id = attempt.leg.task.request.request_id
        self.apply(record, notice, REPLICA_SOURCE, now, request_id=request_id)

    def apply(
        self,
        record: ReplicaRecord,
        notice: RateLimitNotice,
        source: str,
        now: float,
        *,
        request_id: str = "",
    ) -> None:
        """Take over what was heard of a replica's rate limit.

        :param record: The replica.
        :param notice: What was heard; ignored if older than what is known.
        :param source: Who told it.
        :param now: Current time in seconds.
        :param request_id: The request whose answer told it, if any.
        """
        limit = record.limit
        if limit is None:
            record.limit = RateLimitRecord(notice=notice, since=now)
            # The record may have been removed since the request was sent.
            self._context.state.replicas.remember(record)
            self._note_begin(record, now)
            self._log("learnt", record, source, now, request_id=request_id)
            return
        if notice.heard_at < limit.notice.heard_at:
            return
        former, limit.notice = limit.notice, notice
        if (former.per_s is None) != (notice.per_s is None):
            change = "ended" if notice.per_s is None else "learnt"
            self._log(change, record, source, now, request_id=request_id)
            limit.since = now
            if notice.per_s is not None:
                self._note_begin(record, now)
            elif source == REPLICA_SOURCE:
                self._context.borrower.tell_end(record, now)
        elif notice.per_s is not None and now >= limit.logged_at + WINDOW_S:
            change = "held" if former.per_s == notice.per_s else "changed"
            self._log(change, record, source, now, request_id=request_id)

    def _note_begin(self, record: ReplicaRecord, now: float) -> None:
        """Bring what is under way to the replica under its new limit."""
        if record.limit is None or record.rate_per_s is None:
            return
        self._context.state.limited_services.add(record.entry.service)
        record.limit.full_until.clear()
        for _ in record.in_flight:
            record.limit.spent.add(now)
        self._context.withdraw_waiting(record)

    def _log(
        self,
        change: str,
        record: ReplicaRecord,
        source: str,
        now: float,
        *,
        request_id: str,
    ) -> None:
        limit = record.limit
        if limit is None:
            return
        limit.logged_at = now
        if not self._lines.try_acquire(now):
            return
        self._context.log(
            "The rate limit of a replica.",
            request_id,
            change=change,
            replica=record.entry.replica_id,
            service=record.entry.service,
            started_ms=record.entry.started_ms,
            per_s=limit.per_s,
            source=source,
            heard_s_ago=round(now - limit.notice.heard_at, 3),
            since_s=round(now - limit.since, 1),
            sent=limit.sends.count(now),
            in_flight=len(record.in_flight),
            suppressed=self._lines.pop_suppressed_count(),
        )
