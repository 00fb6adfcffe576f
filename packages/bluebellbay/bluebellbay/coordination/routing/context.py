"""What all routed requests of one node share."""

from collections.abc import Iterable

from bluebellbay.coordination.base_part import Output
from bluebellbay.coordination.routing.admission import AdmissionTable
from bluebellbay.coordination.routing.attempt import Attempt
from bluebellbay.coordination.routing.attempt import Overdue
from bluebellbay.coordination.routing.delegation import PeerChooser
from bluebellbay.coordination.routing.delegations import DelegationTable
from bluebellbay.coordination.routing.leg import Leg
from bluebellbay.coordination.routing.ownership import ShardOwners
from bluebellbay.coordination.routing.patience import find_wait
from bluebellbay.coordination.routing.retry_budget import RetryBudgetTable
from bluebellbay.coordination.routing.selection import ReplicaSelector
from bluebellbay.coordination.timer import TimerQueue
from bluebellbay.coordination.timer import TimerTarget
from bluebellbay.protocol.command import Field
from bluebellbay.protocol.command import LogDecision
from bluebellbay.protocol.exchange import CancelAttempt
from bluebellbay.protocol.exchange import SendAttempt
from bluebellbay.state.peer import PeerRecord
from bluebellbay.state.replica import ReplicaRecord
from bluebellbay.state.router import RouterState

PART = "router"
EJECTION_FAILURES = 3
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 8.0
SILENCE_FACTOR = 4.0
# A reply that nobody waits for saves its connection if it comes this soon.
LINGER_S = 0.25


class RoutingContext:
    """Sends attempts, keeps those under way, and learns from their ends.

    :param state: What the node knows.
    :ivar doubt: Whether other failure domains may be out of reach.
    :ivar suspects: Names of peers near this node that may be out of reach.
    """

    def __init__(self, *, state: RouterState) -> None:
        self.state = state
        self.selector = ReplicaSelector(state=state)
        self.budgets = RetryBudgetTable(state=state)
        self.timers = TimerQueue()
        self.peers = PeerChooser(state=state)
        self.admission = AdmissionTable()
        self.attempts: dict[int, Attempt] = {}
        self.owners = ShardOwners(state=state)
        self.doubt = False
        self.suspects: set[str] = set()
        self.delegations = DelegationTable(context=self)
        self._steps: list[Output] = []
        self._sent = 0

    def emit(self, step: Output) -> None:
        """Add a step to those that the present event leads to.

        :param step: A command or an internal event.
        """
        self._steps.append(step)

    def drain(self) -> Iterable[Output]:
        """Take the steps collected since the last call."""
        steps = self._steps
        self._steps = []
        return steps

    def log(
        self, sentence: str, request_id: str = "", **values: object
    ) -> None:
        """Log a decision.

        :param sentence: One short sentence.
        :param request_id: The request that it is about, if any.
        :param values: What it was made of.
        """
        fields = tuple(
            Field(name=name, value=value) for name, value in values.items()
        )
        self._steps.append(
            LogDecision(
                part=PART,
                sentence=sentence,
                request_id=request_id,
                fields=fields,
            )
        )

    def suspect(self, peer: PeerRecord) -> None:
        """Have a peer probed that failed or was silent.

        :param peer: The peer.
        """
        if peer.entry.failure_domain == self.state.failure_domain:
            self.suspects.add(peer.entry.name)
        else:
            self.doubt = True

    def take_number(self) -> int:
        """Give the next attempt's number."""
        self._sent += 1
        return self._sent

    def send(
        self, leg: Leg, record: ReplicaRecord, *, repeat: bool, now: float
    ) -> Attempt:
        """Send a leg to a replica.

        :param leg: The leg.
        :param record: The replica.
        :param repeat: Whether it was taken from the retry budget.
        :param now: Present time in seconds.
        :returns: The attempt.
        """
        run = leg.run
        wait_s = find_wait(
            self.selector.find_pooled(run.route.name),
            left_s=run.objective_at - now,
            objective_s=run.route.objective_s,
            use=self.budgets.find(leg.service, now).measure_use(now),
        )
        attempt = Attempt(
            number=self.take_number(),
            leg=leg,
            record=record,
            sent_at=now,
            due_at=now + wait_s,
            repeat=repeat,
        )
        self.attempts[attempt.number] = attempt
        record.in_flight[attempt.number] = attempt.due_at
        self._steps.append(
            SendAttempt(
                attempt=attempt.number,
                request=run.request,
                replica=record.entry,
                deadline_s=run.deadline - now,
            )
        )
        if run.route.idempotent:
            self.timers.add(attempt.due_at, Overdue(attempt=attempt))
        return attempt

    def end(self, number: int) -> Attempt | None:
        """Note that the transport has reported the end of an attempt.

        :param number: Number of the attempt.
        :returns: The attempt, if it was under way.
        """
        attempt = self.attempts.pop(number, None)
        if attempt is not None:
            attempt.record.in_flight.pop(number, None)
        return attempt

    def note_reply(self, attempt: Attempt, now: float) -> None:
        """Learn from an attempt that was answered well.

        :param attempt: The attempt.
        :param now: Present time in seconds.
        """
        route = attempt.leg.run.route.name
        seconds = now - attempt.sent_at
        record = attempt.record
        record.get_latency_window(route).add(seconds, now)
        self._note_heard(record, now)
        record.refusal_rate.add(0.0, now)
        record.failures = 0
        record.ejected_until = 0.0
        self.selector.find_pooled(route).add(seconds, now)

    def note_refusal(self, attempt: Attempt, now: float) -> None:
        """Learn from an attempt that its replica refused.

        :param attempt: The attempt.
        :param now: Present time in seconds.
        """
        self._note_heard(attempt.record, now)
        attempt.record.refusal_rate.add(1.0, now)

    def note_failure(self, attempt: Attempt, reason: str, now: float) -> None:
        """Learn from an attempt that failed or was silent for too long.

        :param attempt: The attempt.
        :param reason: One short phrase.
        :param now: Present time in seconds.
        """
        record = attempt.record
        record.failures += 1
        surplus = record.failures - EJECTION_FAILURES
        if surplus < 0 or record.ejected_until > now:
            return
        eject_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**surplus)
        record.ejected_until = now + eject_s
        if self.state.is_remote(record):
            self.doubt = True
        self.log(
            "Set a replica aside.",
            attempt.leg.run.request.request_id,
            replica=record.entry.replica_id,
            service=record.entry.service,
            failures=record.failures,
            reason=reason,
            seconds=eject_s,
        )

    def cancel(self, attempt: Attempt, now: float) -> None:
        """Stop an attempt; its replica drops the request.

        :param attempt: The attempt.
        :param now: Present time in seconds.
        """
        attempt.wanted = False
        waited_s = now - attempt.sent_at
        if now >= attempt.due_at:
            window = attempt.record.get_latency_window(
                attempt.leg.run.route.name
            )
            window.add_unanswered(waited_s, now)
            usual_s = attempt.due_at - attempt.sent_at
            heard = attempt.record.last_answer_at > attempt.sent_at
            if waited_s > SILENCE_FACTOR * usual_s and not heard:
                self.note_failure(attempt, "silent", now)
        self._steps.append(CancelAttempt(attempt=attempt.number))

    def release(self, attempt: Attempt, now: float) -> None:
        """Let an attempt end by itself, but not for long.

        :param attempt: The attempt, whose reply is no longer wanted.
        :param now: Present time in seconds.
        """
        attempt.wanted = False
        self.timers.add(
            now + LINGER_S, Unwanted(context=self, attempt=attempt)
        )

    def _note_heard(self, record: ReplicaRecord, now: float) -> None:
        record.last_answer_at = now
        if self.state.is_remote(record):
            self.state.last_remote_answer_at = now


class Unwanted(TimerTarget):
    """Cancels an attempt that outlives its request.

    :param context: What the requests of this node share.
    :param attempt: The attempt.
    """

    __slots__ = ("_attempt", "_context")

    def __init__(self, *, context: RoutingContext, attempt: Attempt) -> None:
        self._context = context
        self._attempt = attempt

    @property
    def is_finished(self) -> bool:
        """Whether the attempt has ended."""
        return self._attempt.number not in self._context.attempts

    def handle_timeout(self, now: float) -> None:
        """Cancel the attempt.

        :param now: Present time in seconds.
        """
        self._context.cancel(self._attempt, now)
