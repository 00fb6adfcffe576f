"""Lends requests to replicas that name rate limits to the nodes that ask."""

import math

from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.part import EventHandlers
from bluebellbay.coordination.routing.part import RoutingPart
from bluebellbay.protocol.rate_permit import PermitAnswer
from bluebellbay.protocol.rate_permit import PermitAnswered
from bluebellbay.protocol.rate_permit import PermitAsk
from bluebellbay.protocol.rate_permit import PermitAsked
from bluebellbay.protocol.rate_permit import PermitFailed
from bluebellbay.protocol.rate_permit import RateNews
from bluebellbay.state.rate_limit import RateLimitNotice
from bluebellbay.state.replica import ReplicaRecord

# A node that may not lend now may soon; who asks again finds out.
NOT_LENDING_WAIT_S = 1.0
# Asks come without a request's id, so their lines are summed up.
LOG_INTERVAL_S = 10.0


class RateLimitPart(RoutingPart):
    """Answers asks of peers, and passes on the answers to this node's own.

    :param context: State and services shared by all requests of the node.
    """

    def __init__(self, *, context: RoutingContext) -> None:
        super().__init__(context=context)
        self._granted = 0
        self._refused = 0
        self._log_at = 0.0

    def list_handlers(self) -> EventHandlers:
        """Return the handler of each type of event."""
        return {
            PermitAsked: self._handle_ask,
            PermitAnswered: self.context.borrower.handle_answer,
            PermitFailed: self._handle_failure,
        }

    def _handle_failure(self, event: PermitFailed, now: float) -> None:
        self.context.borrower.handle_failure(event.attempt, event.reason, now)

    def _handle_ask(self, event: PermitAsked, now: float) -> None:
        ask = event.ask
        record = self.state.replicas.find(ask.replica_id)
        if record is None or record.entry.started_ms != ask.started_ms:
            room_s = NOT_LENDING_WAIT_S
            record = None
        else:
            self._learn(record, ask, now)
            room_s = self._lend(record, now) if ask.wanted else 0.0
        granted = ask.wanted and room_s <= 0
        self.context.emit(
            PermitAnswer(
                exchange=event.exchange,
                granted=granted,
                room_s=room_s,
                news=_build_news(record, now),
            )
        )
        self._count(granted, ask, now)

    def _learn(
        self, record: ReplicaRecord, ask: PermitAsk, now: float
    ) -> None:
        notice = RateLimitNotice(
            per_s=ask.news.per_s, heard_at=now - ask.news.heard_s_ago
        )
        self.context.limits.apply(record, notice, ask.node, now)

    def _lend(self, record: ReplicaRecord, now: float) -> float:
        """Lend one request.

        :returns: Seconds until there is room; 0 if it was lent.
        """
        permits = self.context.selector.rate_permits
        wait_s = permits.measure_wait(record, now)
        if wait_s <= 0:
            permits.spend(record, now)
            return 0.0
        return NOT_LENDING_WAIT_S if math.isinf(wait_s) else wait_s

    def _count(self, granted: bool, ask: PermitAsk, now: float) -> None:
        if ask.wanted:
            self._granted += granted
            self._refused += not granted
        if now < self._log_at:
            return
        self.context.log(
            "Answered asks of peers for requests to replicas with a limit.",
            granted=self._granted,
            refused=self._refused,
            store_age_s=round(now - self.state.store.confirmed_at, 1),
        )
        self._granted = self._refused = 0
        self._log_at = now + LOG_INTERVAL_S


def _build_news(record: ReplicaRecord | None, now: float) -> RateNews | None:
    if record is None or record.limit is None:
        return None
    notice = record.limit.notice
    return RateNews(
        per_s=notice.per_s, heard_s_ago=max(0.0, now - notice.heard_at)
    )
