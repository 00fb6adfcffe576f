"""Queries over some shards of a set that a peer delegated to this node."""

import dataclasses

from bluebellbay.coordination.routing.scatter import ScatterTask
from bluebellbay.coordination.routing.task import Arrival
from bluebellbay.protocol.exchange import DelegationTerms
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.route import ScatterRule

# The peer asks for the shards still pending within this time, or not at all.
LINGER_S = 0.25


class DelegatedScatterTask(ScatterTask):
    """Queries shards for a peer, in parts if some shards are late.

    At the objective the peer gets what has replied and the names of the
    shards that are pending. Their attempts go on for ``LINGER_S``, without
    retries, in case the peer needs them and resumes the query.

    :param arrival: The request, its route and its time of arrival.
    :param terms: The shards, and the limits that the peer sets.
    """

    def __init__(self, *, arrival: Arrival, terms: DelegationTerms) -> None:
        super().__init__(
            arrival=arrival,
            rule=ScatterRule(
                shards=terms.shards,
                most_records=terms.most_records,
                min_coverage=0.0,
            ),
        )
        opened = arrival.opened
        left_s = terms.objective_s - opened.age_s - opened.return_s
        delay_s = self.context.timing.compute_timer_delay(left_s, arrival.now)
        self.objective_at = arrival.now + left_s - delay_s
        self._is_repeat = terms.repeat
        self._lingers_until: float | None = None

    @property
    def may_retry(self) -> bool:
        """Whether legs may send another attempt."""
        return self._lingers_until is None

    def resume(self, opened: ExchangeOpened, now: float) -> None:
        """Answer the peer's request for the pending shards.

        :param opened: The peer's request, which has terms.
        :param now: Current Unix time in seconds.
        """
        terms = opened.request.delegation
        if terms is None:
            raise ValueError("only a delegated query can be resumed")
        self.exchange = opened.exchange
        self._lingers_until = None
        self.objective_at = now + terms.objective_s
        self._objective_seen = False
        self.context.timers.add(self.objective_at, self)
        self._decide(now)

    def handle_timeout(self, now: float) -> None:
        """Answer at the objective; end if the query was not resumed.

        :param now: Current Unix time in seconds.
        """
        if self._lingers_until is None:
            super().handle_timeout(now)
        elif now >= self._lingers_until:
            self.finished = True
            self.context.remainders.remove(self)
            self.stop_legs(now, unanswered=True)

    def _divide(
        self, requested: tuple[str, ...], now: float, *, repeat: bool
    ) -> tuple[str, ...]:
        del now, repeat
        return requested

    def _admit(self, now: float) -> bool:
        del now
        return True

    def _decide(self, now: float) -> None:
        if self._lingers_until is None:
            super()._decide(now)

    def _give(self, answer: MergedAnswer, now: float) -> None:
        pending = [leg for leg in self._legs if leg.expects_reply(now)]
        if not pending or now >= self.deadline:
            super()._give(answer, now)
            return
        shards = tuple(leg.service for leg in pending)
        self.context.emit(dataclasses.replace(answer, pending=shards))
        self._log(
            "Answered a part of a delegated query.",
            now,
            shards=len(answer.digests),
            missing=answer.missing,
            pending=len(shards),
        )
        for leg in self._legs:
            if leg not in pending:
                leg.stop(now, unanswered=False)
        self.rule = dataclasses.replace(self.rule, shards=shards)
        self._legs = pending
        self._replies = {}
        self._replied_shards = 0
        self._failed_shards = 0
        self._lingers_until = now + LINGER_S
        self.context.timers.add(self._lingers_until, self)
        self.context.remainders.add(self)
