"""Simulation of entry nodes, a store and a backend in virtual time."""

import dataclasses
import heapq
import itertools
import random

from claim_store import FakeStore
from query_world import make_rows
from query_world import make_settings

from bluebellbay.coordination.core import Core
from bluebellbay.coordination.postings.claim import ClaimPart
from bluebellbay.coordination.queries.query import QueryPart
from bluebellbay.protocol.claim import decode_bucket
from bluebellbay.protocol.command import AnswerCaller
from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.command import SendLeg
from bluebellbay.protocol.command import WriteKey
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.configuration import ProfileRecord
from bluebellbay.protocol.error import Outcome
from bluebellbay.protocol.event import LegFailed
from bluebellbay.protocol.event import LegRefused
from bluebellbay.protocol.event import LegReplied
from bluebellbay.protocol.event import QueryArrived
from bluebellbay.protocol.event import StoreCallFailed
from bluebellbay.protocol.key_range import KEY_SPACE_END
from bluebellbay.protocol.leg import Holding
from bluebellbay.protocol.leg import LegRefusal
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.leg import RefusalReason
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.profile import Profile
from bluebellbay.protocol.request import QueryRequest
from bluebellbay.state.server import ServerRecord

START_S = 1_000_000.0
STORE_TIMEOUT_S = 0.3
LATE_DELAY_S = 6.0
LINK_DELAY_S = 0.002
NODE_COUNT = 4
INDEX = "ledgerrun"
# All requests share one bucket, so that their claims share writes.
BUCKET_COUNT = 1

STORE_BEHAVIOURS = ("ok", "slow", "answer-lost", "lost", "late", "limited")
LEG_BEHAVIOURS = ("ok", "slow", "answer-lost", "broken", "refused", "unsent")
FAULT_KINDS = ("freeze", "cut", "store-down", "kill")


class SharedBucketClaimPart(ClaimPart):
    """Claim part that keeps all claims in one bucket."""

    buckets = BUCKET_COUNT


@dataclasses.dataclass(frozen=True, kw_only=True)
class Submission:
    """A caller's attempt at a request, sent to one node.

    ``at`` and ``expires_at`` are in seconds from the start of the run.
    """

    node: int
    at: float
    request_id: str
    expires_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault of a node or of the store.

    ``at`` is its start in seconds from the start of the run, ``seconds`` its
    duration.
    """

    kind: str
    node: int
    at: float
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class History:
    """Input of one simulated run."""

    submissions: tuple
    faults: tuple = ()
    store_behaviours: tuple = ("ok",)
    leg_behaviours: tuple = ("ok",)
    # Number of the node, number of its event, and how many of the event's
    # commands are executed before the kill.
    kills: tuple = ()
    clock_offsets_s: tuple = (0.0,) * NODE_COUNT


class EntryNode:
    """An entry VM, which gets a new core at each start."""

    def __init__(self, number, clock_offset_s, limits):
        self.number = number
        self.clock_offset_s = clock_offset_s
        self.limits = limits
        self.incarnation = 0
        self.frozen_until = 0.0
        self.cut_until = 0.0
        self.events = 0
        self.start()

    def start(self):
        self.incarnation += 1
        self.core = Core(
            settings=make_settings([{"name": INDEX}], limits=self.limits),
            rng=random.Random(self.number * 1000 + self.incarnation),
            parts=(QueryPart, SharedBucketClaimPart),
        )
        profile = Profile(name="settlement", delay_ms=1000)
        state = self.core.state
        state.configuration.accept(
            ConfigurationDocument(
                revision=1,
                change_id="x",
                profiles=(
                    ProfileRecord(
                        name=profile.name, revision=1, profile=profile
                    ),
                ),
            )
        )
        for name in ("server-1", "server-2"):
            state.servers.servers[name] = ServerRecord(
                name=name,
                address=f"{name}:1",
                failure_domain="fd-1",
                index=INDEX,
                service=INDEX,
                slots=4,
                connection_limit=45,
                added_at=START_S - 3600,
            )
            state.servers.holdings[INDEX].set_holdings(
                server=name,
                service=INDEX,
                holdings=(Holding(snapshot=1, start=0, end=KEY_SPACE_END),),
            )


class ClaimWorld:
    """Simulates one history.

    ``runs`` lists the numbers of the submissions that the backend ran, by
    request id; ``answers`` holds the answers by number of the submission;
    ``seen`` the behaviours and kills that occurred.
    """

    def __init__(self, history, **limits):
        self.history = history
        self.store = FakeStore()
        self.store_down_until = 0.0
        self.nodes = [
            EntryNode(number, clock_offset_s, limits)
            for number, clock_offset_s in enumerate(history.clock_offsets_s)
        ]
        self.runs = {}
        self.answers = {}
        self.seen = set()
        self._store_behaviours = itertools.cycle(history.store_behaviours)
        self._leg_behaviours = itertools.cycle(history.leg_behaviours)
        self._kills = {(node, event): n for node, event, n in history.kills}
        self._order = itertools.count()
        self._heap = []

    def schedule(self, time_s, action, *arguments):
        heapq.heappush(
            self._heap, (time_s, next(self._order), action, arguments)
        )

    def run(self, seconds):
        for number, submission in enumerate(self.history.submissions):
            self.schedule(
                START_S + submission.at, self.submit, number, submission
            )
        for fault in self.history.faults:
            self.schedule(START_S + fault.at, self.start_fault, fault)
        while self._heap and self._heap[0][0] <= START_S + seconds:
            self.now, _, action, arguments = heapq.heappop(self._heap)
            action(*arguments)
        return self

    def start_fault(self, fault):
        node = self.nodes[fault.node]
        until = self.now + fault.seconds
        match fault.kind:
            case "freeze":
                node.frozen_until = until
            case "cut":
                node.cut_until = until
            case "store-down":
                self.store_down_until = until
            case "kill":
                node.start()

    def submit(self, number, submission):
        request = QueryRequest(
            request_id=submission.request_id,
            index=INDEX,
            profile="settlement",
            query=number,
            repeatable=False,
            expires_at=START_S + submission.expires_at,
        )
        node = self.nodes[submission.node]
        event = QueryArrived(caller=number, request=request)
        self.deliver(node, node.incarnation, event)

    def deliver(self, node, incarnation, event):
        if incarnation != node.incarnation:
            return
        if self.now < node.frozen_until:
            # After a freeze, timers run last, which is the worst order.
            timer_delay_s = 1e-6 if isinstance(event, TimerTick) else 0.0
            self.schedule(
                node.frozen_until + timer_delay_s,
                self.deliver,
                node,
                incarnation,
                event,
            )
            return
        self.step(node, event)

    def step(self, node, event):
        commands = [
            command
            for command in node.core.step(
                event, self.now + node.clock_offset_s
            )
            if not isinstance(command, LogDecision)
        ]
        node.events += 1
        leaving = self._kills.get((node.number, node.events))
        for command in commands[:leaving]:
            self.execute(node, command)
        if leaving is not None:
            self.seen.add("killed")
            node.start()
        wake = node.core.get_wakeup_time()
        if wake is not None:
            due = max(wake - node.clock_offset_s, self.now + 1e-6)
            self.schedule(
                due, self.deliver, node, node.incarnation, TimerTick()
            )

    def execute(self, node, command):
        match command:
            case ReadKey() | WriteKey():
                self.call_store(node, command)
            case SendLeg():
                self.send_leg(node, command)
            case AnswerCaller():
                assert command.caller not in self.answers, command
                self.answers[command.caller] = command.answer

    def call_store(self, node, command):
        behaviour = next(self._store_behaviours)
        if self.now < node.cut_until or self.now < self.store_down_until:
            behaviour = "lost"
        self.seen.add(f"store {behaviour}")
        reached_at = self.now + LINK_DELAY_S
        failure = StoreCallFailed(
            correlation_id=command.correlation_id,
            key=command.key,
            sent=behaviour != "limited",
        )
        if behaviour == "limited":
            self.schedule_event(node, reached_at + LINK_DELAY_S, failure)
            return
        if behaviour in ("answer-lost", "lost", "late"):
            self.schedule_event(node, self.now + STORE_TIMEOUT_S, failure)
        if behaviour == "lost":
            return
        if behaviour == "late":
            reached_at = self.now + LATE_DELAY_S
        self.schedule(
            reached_at,
            self.apply_at_store,
            node,
            node.incarnation,
            command,
            behaviour,
        )

    def apply_at_store(self, node, incarnation, command, behaviour):
        event = self.store.apply(command)
        if behaviour in ("answer-lost", "late"):
            return
        delay_s = 0.7 if behaviour == "slow" else LINK_DELAY_S
        self.schedule(
            self.now + delay_s, self.deliver, node, incarnation, event
        )

    def schedule_event(self, node, time_s, event):
        self.schedule(time_s, self.deliver, node, node.incarnation, event)

    def send_leg(self, node, command):
        behaviour = next(self._leg_behaviours)
        self.seen.add(f"leg {behaviour}")
        leg = command.leg
        self.check_send(node, leg)
        fields = {"server": command.server, "attempt": leg.attempt}
        if behaviour == "unsent":
            event = LegFailed(**fields, sent=False)
            self.schedule_event(node, self.now + LINK_DELAY_S, event)
            return
        if behaviour == "refused":
            refusal = LegRefusal(
                attempt=leg.attempt, reason=RefusalReason.OVERLOADED
            )
            event = LegRefused(**fields, refusal=refusal)
            self.schedule_event(node, self.now + LINK_DELAY_S, event)
            return
        self.runs.setdefault(leg.request_id, []).append(leg.query)
        if behaviour in ("answer-lost", "broken"):
            event = LegFailed(**fields, sent=True)
            delay_s = (
                command.timeout_s
                if behaviour == "answer-lost"
                else LINK_DELAY_S
            )
            self.schedule_event(node, self.now + delay_s, event)
            return
        reply = LegReply(
            attempt=leg.attempt,
            snapshot=leg.snapshot,
            start=leg.start,
            end=leg.end,
            rows=make_rows(leg.snapshot, leg.start, leg.end)[:1],
        )
        event = LegReplied(**fields, reply=reply)
        delay_s = 1.6 if behaviour == "slow" else 0.01
        self.schedule_event(node, self.now + delay_s, event)

    def check_send(self, node, leg):
        now = self.now + node.clock_offset_s
        assert now < leg.expires_at, (
            f"{leg.query} was sent at {now}, but expired at {leg.expires_at}"
        )
        claims = [
            claim
            for claim in self.list_claims()
            if claim.request_id == leg.request_id
        ]
        assert len(claims) == 1, f"{leg.query} was sent under {claims}"
        assert claims[0].outcome is None, (
            f"{leg.query} was sent although its outcome is recorded: {claims}"
        )

    def list_claims(self):
        for value in self.store.values.values():
            yield from decode_bucket(value).ok.claims

    def check(self):
        """Check the invariants that hold after any history."""
        for request, attempts in self.runs.items():
            assert len(attempts) < 2, (
                f"{request} ran {len(attempts)} times: {attempts}"
            )
        for number, answer in self.answers.items():
            request = self.history.submissions[number].request_id
            attempts = self.runs.get(request, ())
            if answer.outcome is Outcome.NOT_RUN:
                assert number not in attempts, (
                    f"{number} was told not-run, but ran"
                )
            if answer.outcome is Outcome.ANSWERED:
                assert attempts, f"{number} was told answered, but not run"
