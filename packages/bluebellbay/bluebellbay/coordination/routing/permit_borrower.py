"""Asks lenders for requests to replicas that name rate limits."""

import dataclasses
from typing import TYPE_CHECKING

from bluebellbay.coordination.routing.lender_ask import CALL_TIMEOUT_S
from bluebellbay.coordination.routing.lender_ask import LenderAsk
from bluebellbay.coordination.routing.lender_directory import LenderDirectory
from bluebellbay.coordination.routing.rate_permits import MAX_INTERVAL_S
from bluebellbay.protocol.rate_permit import AskForPermit
from bluebellbay.protocol.rate_permit import PermitAnswered
from bluebellbay.protocol.rate_permit import PermitAsk
from bluebellbay.protocol.rate_permit import RateNews
from bluebellbay.state.peer import PeerRecord
from bluebellbay.state.rate_limit import RateLimitNotice
from bluebellbay.state.replica import ReplicaRecord

if TYPE_CHECKING:
    from bluebellbay.coordination.routing.context import RoutingContext
    from bluebellbay.coordination.routing.leg import Leg

# While other replicas serve, a limit is asked about so often, in case it has
# ended.
ASK_INTERVAL_S = 2.0
# A request that has been refused so often is refused itself.
MAX_ASKS = 3


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class _Waiting:
    """A leg that waits for a permit to send to one replica."""

    leg: "Leg"
    asked: set[str] = dataclasses.field(default_factory=set)


class _Ask(LenderAsk):
    """An ask for a request to a replica.

    :param borrower: Handles the time-out.
    :param record: The replica.
    :param waiting: The leg that waits for it; ``None`` if the lender is only
        told something.
    """

    __slots__ = ("_borrower", "record", "waiting")

    def __init__(
        self,
        *,
        borrower: "PermitBorrower",
        record: ReplicaRecord,
        waiting: _Waiting | None,
        peer: PeerRecord,
        asked_at: float,
        late_at: float,
    ) -> None:
        super().__init__(peer=peer, asked_at=asked_at, late_at=late_at)
        self._borrower = borrower
        self.record = record
        self.waiting = waiting

    def handle_late(self, reason: str, now: float) -> None:
        """Count the ask as refused, and ask the next lender.

        :param reason: Short phrase for the log.
        :param now: Current time in seconds.
        """
        self._borrower.handle_late(self, reason, now)


class PermitBorrower:
    """Asks the lenders of a replica's limit, one after the other.

    :param context: State and services shared by all requests of the node.
    """

    def __init__(self, *, context: "RoutingContext") -> None:
        self._context = context
        self._node = context.state.rules.node
        self._directory = LenderDirectory(state=context.state)
        self._asks: dict[int, _Ask] = {}

    def ask(
        self, leg: "Leg", record: ReplicaRecord, now: float, *, urgent: bool
    ) -> bool:
        """Ask for one request; the leg is told how it ended.

        :param leg: What the request is for.
        :param record: The replica.
        :param now: Current time in seconds.
        :param urgent: Whether no other replica can serve it.
        :returns: Whether a lender was asked; if not, none has room.
        """
        limit = record.limit
        if limit is None:
            return False
        if not urgent and now < limit.asked_at + ASK_INTERVAL_S:
            return False
        limit.asked_at = now
        waiting = _Waiting(leg=leg)
        return self._ask_next(record, waiting, now)

    def tell_end(self, record: ReplicaRecord, now: float) -> None:
        """Tell the lenders that a replica names no limit any more.

        :param record: The replica.
        :param now: Current time in seconds.
        """
        for lender in self._list_lenders(record):
            if not self._directory.is_avoided(lender, now):
                self._send(record, lender, None, now)

    def handle_answer(self, event: PermitAnswered, now: float) -> None:
        """Use a permit, or ask the next lender.

        :param event: The answer.
        :param now: Current time in seconds.
        """
        ask = self._asks.pop(event.attempt, None)
        if ask is None:
            return
        name = ask.peer.entry.name
        self._directory.record_round_trip(name, now - ask.asked_at)
        record = self._context.state.replicas.find_same(ask.record)
        if event.news is not None:
            notice = RateLimitNotice(
                per_s=event.news.per_s, heard_at=now - event.news.heard_s_ago
            )
            self._context.limits.apply(record, notice, name, now)
        limit = record.limit
        if limit is not None and not event.granted:
            limit.full_until[name] = now + min(event.room_s, MAX_INTERVAL_S)
        elif limit is not None:
            limit.full_until.pop(name, None)
        if ask.ended or ask.waiting is None:
            return
        ask.ended = True
        if now <= ask.late_at and (event.granted or record.rate_per_s is None):
            ask.waiting.leg.use_permit(record, now)
            return
        self._go_on(ask, now)

    def handle_failure(self, number: int, reason: str, now: float) -> None:
        """Ask the next lender, as this one can't be reached.

        :param number: Number of the ask.
        :param reason: Short phrase for the log.
        :param now: Current time in seconds.
        """
        ask = self._asks.pop(number, None)
        if ask is not None and not ask.ended:
            self.handle_late(ask, reason, now)

    def handle_late(self, ask: _Ask, reason: str, now: float) -> None:
        """Count an ask as refused, and avoid its lender for some time.

        :param ask: The ask.
        :param reason: Short phrase for the log.
        :param now: Current time in seconds.
        """
        ask.ended = True
        waiting = ask.waiting
        self._directory.avoid(ask.peer.entry.name, now)
        self._context.suspect(ask.peer)
        self._context.log(
            "A lender of a rate limit did not answer; it is not asked for "
            "some time.",
            "" if waiting is None else waiting.leg.task.request.request_id,
            replica=ask.record.entry.replica_id,
            peer=ask.peer.entry.name,
            reason=reason,
            ms=round((now - ask.asked_at) * 1000, 1),
        )
        self._go_on(ask, now)

    def _go_on(self, ask: _Ask, now: float) -> None:
        waiting = ask.waiting
        if waiting is None or waiting.leg.closed:
            return
        if not self._ask_next(ask.record, waiting, now):
            waiting.leg.go_without_permit(now)

    def _ask_next(
        self, record: ReplicaRecord, waiting: _Waiting, now: float
    ) -> bool:
        limit = record.limit
        if limit is None:
            return False
        if waiting.leg.permit_asks >= MAX_ASKS:
            return False
        for lender in self._list_lenders(record):
            if lender in waiting.asked:
                continue
            if limit.full_until.get(lender, 0.0) > now:
                continue
            if self._directory.is_avoided(lender, now):
                continue
            waiting.asked.add(lender)
            waiting.leg.permit_asks += 1
            self._send(record, lender, waiting, now)
            return True
        return False

    def _list_lenders(self, record: ReplicaRecord) -> list[str]:
        """List the other nodes that lend; that of this domain comes first."""
        state = self._context.state
        names = self._context.selector.rate_permits.list_lenders(record)
        return sorted(
            (
                name
                for name in names
                if name != self._node and name in state.peers
            ),
            key=lambda name: (
                state.peers[name].entry.failure_domain != state.failure_domain
            ),
        )

    def _send(
        self,
        record: ReplicaRecord,
        lender: str,
        waiting: _Waiting | None,
        now: float,
    ) -> None:
        limit = record.limit
        if limit is None:
            return
        peer = self._context.state.peers[lender]
        number = self._context.allocate_number()
        ask = _Ask(
            borrower=self,
            record=record,
            waiting=waiting,
            peer=peer,
            asked_at=now,
            late_at=now + self._directory.compute_timeout(lender),
        )
        self._asks[number] = ask
        self._context.timers.add(ask.late_at, ask)
        self._context.emit(
            AskForPermit(
                attempt=number,
                peer=peer.entry,
                ask=PermitAsk(
                    node=self._node,
                    replica_id=record.entry.replica_id,
                    started_ms=record.entry.started_ms,
                    news=RateNews(
                        per_s=limit.per_s,
                        heard_s_ago=max(0.0, now - limit.notice.heard_at),
                    ),
                    wanted=waiting is not None,
                ),
                timeout_s=CALL_TIMEOUT_S,
            )
        )
