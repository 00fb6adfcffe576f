"""Answers asks of peers, and follows the members that share quotas."""

from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.part import EventHandlers
from bluebellbay.coordination.routing.part import RoutingPart
from bluebellbay.coordination.routing.quota_gate import QuotaGate
from bluebellbay.protocol.quota import LenderAnswered
from bluebellbay.protocol.quota import LenderFailed
from bluebellbay.protocol.quota import QuotaAnswer
from bluebellbay.protocol.quota import QuotaAsked
from bluebellbay.protocol.registry import NodeLeaseEnded
from bluebellbay.protocol.registry import NodeRegistered
from bluebellbay.protocol.registry import NodesListed

# Asks come without a request's id, so their lines are summed up.
LOG_INTERVAL_S = 10.0


class QuotaPart(RoutingPart):
    """Passes the gate what peers and the store tell.

    It follows the part that keeps the peers, and so finds them up to date.

    :param context: State and services shared by all requests of the node.
    :param gate: Decides on quotas.
    """

    def __init__(self, *, context: RoutingContext, gate: QuotaGate) -> None:
        self._gate = gate
        super().__init__(context=context)
        self._listed = False
        self._granted = 0
        self._refused = 0
        self._log_at = 0.0

    def list_handlers(self) -> EventHandlers:
        """Return the handler of each type of event."""
        return {
            NodesListed: self._handle_list,
            NodeRegistered: self._handle_change,
            NodeLeaseEnded: self._handle_change,
            QuotaAsked: self._handle_ask,
            LenderAnswered: self._gate.handle_answer,
            LenderFailed: self._handle_failure,
        }

    def _handle_list(self, event: NodesListed, now: float) -> None:
        self._listed = True
        self._handle_change(event, now)

    def _handle_change(self, event: object, now: float) -> None:
        del event
        self._gate.members.note_start(now)
        if self._listed:
            self._gate.record_members(now)

    def _handle_ask(self, event: QuotaAsked, now: float) -> None:
        answer = self._gate.lend(event.ask, now)
        self.context.emit(
            QuotaAnswer(
                exchange=event.exchange,
                granted=answer.granted,
                room_s=answer.room_s,
            )
        )
        self._granted += answer.granted
        self._refused += not answer.granted
        if now < self._log_at:
            return
        self.context.log(
            "Answered asks of peers for requests of client accounts.",
            granted=self._granted,
            refused=self._refused,
            store_age_s=round(now - self.state.store.confirmed_at, 1),
            version=self.state.routes.version,
        )
        self._granted = self._refused = 0
        self._log_at = now + LOG_INTERVAL_S

    def _handle_failure(self, event: LenderFailed, now: float) -> None:
        self._gate.handle_failure(event.attempt, event.reason, now)
