"""Keeps requests until their quota is known, and asks lenders for it."""

from collections.abc import Callable
import dataclasses

from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.lender_ask import CALL_TIMEOUT_S
from bluebellbay.coordination.routing.lender_ask import LenderAsk
from bluebellbay.coordination.routing.lender_directory import LenderDirectory
from bluebellbay.coordination.routing.quota import QuotaBorrower
from bluebellbay.coordination.routing.quota import QuotaToken
from bluebellbay.coordination.routing.quota_division import compute_limit
from bluebellbay.coordination.routing.quota_lender import QuotaLender
from bluebellbay.coordination.routing.quota_members import QuotaMembers
from bluebellbay.coordination.routing.task import Arrival
from bluebellbay.protocol.account import ClientAccount
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import RoutingErrorKind
from bluebellbay.protocol.quota import AskLender
from bluebellbay.protocol.quota import LenderAnswered
from bluebellbay.protocol.quota import QuotaAsk
from bluebellbay.protocol.router_rules import QuotaLimits
from bluebellbay.state.peer import PeerRecord


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class _Waiting:
    """A request that waits for a lender."""

    arrival: Arrival
    account: ClientAccount
    asked: set[str] = dataclasses.field(default_factory=set)
    ended: bool = False


class _Ask(LenderAsk):
    """An ask for requests of a client account.

    :param gate: Handles the time-out.
    :param waiting: The request that waits for it.
    """

    __slots__ = ("_gate", "waiting")

    def __init__(
        self,
        *,
        gate: "QuotaGate",
        waiting: _Waiting,
        peer: PeerRecord,
        asked_at: float,
        late_at: float,
    ) -> None:
        super().__init__(peer=peer, asked_at=asked_at, late_at=late_at)
        self._gate = gate
        self.waiting = waiting

    def handle_late(self, reason: str, now: float) -> None:
        """Count the ask as refused, and ask the next lender.

        :param reason: Short phrase for the log.
        :param now: Current time in seconds.
        """
        self._gate.handle_late(self, reason, now)


class QuotaGate:
    """Starts requests that their account's quota allows, refuses the others.

    :param context: State and services shared by all requests of the node.
    :param start: Starts a request.
    """

    def __init__(
        self, *, context: RoutingContext, start: Callable[[Arrival], None]
    ) -> None:
        rules = context.state.rules
        self._context = context
        self._state = context.state
        self._start = start
        self.members = QuotaMembers(
            node=rules.node, limits=rules.quota, first_start=rules.first_start
        )
        self.borrower = QuotaBorrower(
            members=self.members, limits=rules.quota, rng=self._state.rng
        )
        self.lender = QuotaLender(
            members=self.members,
            limits=rules.quota,
            failure_domain=rules.failure_domain,
        )
        self._directory = LenderDirectory(state=self._state)
        self._waiting: dict[int, _Waiting] = {}
        self._asks: dict[int, _Ask] = {}
        self._tokens: dict[int, QuotaToken] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def admit(self, arrival: Arrival) -> None:
        """Start a request, refuse it, or let it wait for a lender.

        A query of a peer is a part of a request that the peer has counted.

        :param arrival: The request.
        """
        account = arrival.account
        if (
            account is None
            or account.rate_per_s <= 0
            or arrival.opened.request.delegation is not None
        ):
            self._start(arrival)
            return
        waiting = _Waiting(arrival=arrival, account=account)
        self._decide(waiting, arrival.now)

    def settle(self, exchange: int, *, ran: bool) -> None:
        """Give back the token of a request that has ended without a run.

        :param exchange: Number of its exchange.
        :param ran: Whether a replica may have run it.
        """
        token = self._tokens.pop(exchange, None)
        if token is not None and not ran:
            self.borrower.give_back(token)

    def discard(self, exchange: int) -> None:
        """Drop a waiting request whose caller has left.

        :param exchange: Number of its exchange; others are ignored.
        """
        waiting = self._waiting.pop(exchange, None)
        if waiting is not None:
            waiting.ended = True

    def end_all(self) -> None:
        """Answer all waiting requests that they have timed out."""
        for waiting in tuple(self._waiting.values()):
            exchange = waiting.arrival.opened.exchange
            self.discard(exchange)
            self._context.emit(
                ErrorAnswer(
                    exchange=exchange,
                    kind=RoutingErrorKind.TIMED_OUT,
                    ran=False,
                )
            )

    def lend(self, ask: QuotaAsk, now: float) -> LenderAnswered:
        """Answer an ask for requests.

        :param ask: What is asked for.
        :param now: Current Unix time in seconds.
        """
        accounts = self._state.routes.accounts
        return self.lender.lend(
            ask,
            accounts.find_by_name(ask.account) if accounts else None,
            self._directory.limits,
            confirmed_at=self._state.store.viewed_at,
            now=now,
        )

    def handle_answer(self, event: LenderAnswered, now: float) -> None:
        """Use a grant, or ask the next lender.

        :param event: The answer.
        :param now: Current Unix time in seconds.
        """
        ask = self._asks.pop(event.attempt, None)
        if ask is None:
            return
        name = ask.peer.entry.name
        self._directory.record_round_trip(name, now - ask.asked_at)
        waiting = ask.waiting
        account = waiting.account.name
        if event.granted < 1:
            self.borrower.record_refusal(account, name, event.room_s, now)
        if ask.ended:
            return
        ask.ended = True
        if now > ask.late_at:
            # The timer is due, but this node came to it late. What was
            # granted is counted by the lender from too early a time.
            self._context.log(
                "Read the answer of a lender too late to use a grant.",
                waiting.arrival.opened.request.request_id,
                account=account,
                peer=name,
                granted=event.granted,
                ms=round((now - ask.asked_at) * 1000, 1),
            )
            self._ask_next_lender(waiting, now)
            return
        if event.granted >= 1:
            token = QuotaToken(
                account=account, spent_at=ask.asked_at, granted=True
            )
            if waiting.ended:
                self.borrower.give_back(token)
                return
            self._run(waiting, token, now)
            return
        self._ask_next_lender(waiting, now)

    def handle_failure(self, number: int, reason: str, now: float) -> None:
        """Ask the next lender, as this one can't be reached.

        :param number: Number of the ask.
        :param reason: Short phrase for the log.
        :param now: Current Unix time in seconds.
        """
        ask = self._asks.pop(number, None)
        if ask is not None and not ask.ended:
            self.handle_late(ask, reason, now)

    def handle_late(self, ask: _Ask, reason: str, now: float) -> None:
        """Count an ask as refused, and avoid its lender for some time.

        :param ask: The ask.
        :param reason: Short phrase for the log.
        :param now: Current Unix time in seconds.
        """
        ask.ended = True
        name = ask.peer.entry.name
        self._directory.avoid(name, now)
        self._context.suspect(ask.peer)
        self._context.log(
            "A lender did not answer; it is not asked for some time.",
            ask.waiting.arrival.opened.request.request_id,
            account=ask.waiting.account.name,
            peer=name,
            reason=reason,
            ms=round((now - ask.asked_at) * 1000, 1),
        )
        self._ask_next_lender(ask.waiting, now)

    def record_members(self, now: float) -> None:
        """Record who shares the limits, as the store tells.

        :param now: Current Unix time in seconds.
        """
        members = self._directory.list_members(
            self._state.failure_domain, with_self=self._state.is_registered
        )
        self.members.record(members, self._state.nodes, now)

    def _ask_next_lender(self, waiting: _Waiting, now: float) -> None:
        if not waiting.ended:
            self._decide(waiting, now)

    def _decide(self, waiting: _Waiting, now: float) -> None:
        limits = self._directory.limits
        token = self.borrower.spend(
            waiting.account,
            limits,
            confirmed_at=self._state.store.viewed_at,
            now=now,
        )
        if token is not None:
            self._run(waiting, token, now)
            return
        name = waiting.account.name
        for lender in self._directory.list_lenders(name, limits, now):
            if lender in waiting.asked:
                continue
            if self.borrower.is_full(name, lender, now):
                continue
            waiting.asked.add(lender)
            if lender != self._state.rules.node:
                self._ask(waiting, self._state.peers[lender], now)
                return
            answer = self.lend(QuotaAsk(account=name), now)
            if answer.granted:
                token = QuotaToken(account=name, spent_at=now, granted=True)
                self._run(waiting, token, now)
                return
            self.borrower.record_refusal(name, lender, answer.room_s, now)
        self._refuse(waiting, limits, now)

    def _ask(self, waiting: _Waiting, peer: PeerRecord, now: float) -> None:
        self._waiting[waiting.arrival.opened.exchange] = waiting
        number = self._context.allocate_number()
        ask = _Ask(
            gate=self,
            waiting=waiting,
            peer=peer,
            asked_at=now,
            late_at=now + self._directory.compute_timeout(peer.entry.name),
        )
        self._asks[number] = ask
        self._context.timers.add(ask.late_at, ask)
        self._context.emit(
            AskLender(
                attempt=number,
                peer=peer.entry,
                ask=QuotaAsk(account=waiting.account.name),
                timeout_s=CALL_TIMEOUT_S,
            )
        )

    def _run(self, waiting: _Waiting, token: QuotaToken, now: float) -> None:
        arrival = waiting.arrival
        opened = arrival.opened
        self.discard(opened.exchange)
        self._tokens[opened.exchange] = token
        if waiting.asked:
            self._context.log(
                "Ran a request whose account has spent this node's allowance.",
                opened.request.request_id,
                account=waiting.account.name,
                granted=token.granted,
                asked=len(waiting.asked),
                ms=round((now - arrival.now) * 1000, 1),
            )
        if now > arrival.now:
            arrival = dataclasses.replace(
                arrival,
                opened=dataclasses.replace(
                    opened, age_s=opened.age_s + now - arrival.now
                ),
                now=now,
            )
        self._start(arrival)

    def _refuse(
        self, waiting: _Waiting, limits: QuotaLimits, now: float
    ) -> None:
        arrival = waiting.arrival
        account = waiting.account
        confirmed_at = self._state.store.viewed_at
        retry_after_s = self.borrower.compute_retry_after(
            account, limits, confirmed_at=confirmed_at, now=now
        )
        self.discard(arrival.opened.exchange)
        self._context.emit(
            ErrorAnswer(
                exchange=arrival.opened.exchange,
                kind=RoutingErrorKind.OVER_QUOTA,
                ran=False,
                retry_after_s=retry_after_s,
            )
        )
        self._context.log(
            "Refused a request over the quota of its client account.",
            arrival.opened.request.request_id,
            error=RoutingErrorKind.OVER_QUOTA.value,
            account=account.name,
            limit=round(compute_limit(account, limits), 1),
            spent=self.borrower.count_spent(account.name, now),
            nodes=self._state.nodes,
            asked=len(waiting.asked),
            version=arrival.version,
            store_age_s=round(now - confirmed_at, 1),
            retry_after_s=round(retry_after_s, 2),
            ms=round((now - arrival.now) * 1000, 1),
        )
