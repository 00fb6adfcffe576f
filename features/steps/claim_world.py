"""Several nodes, one store and a backend that counts, in virtual time."""

import dataclasses
import heapq
import itertools
import random

from claim_store import ClaimStore
from query_world import make_rows
from query_world import make_settings

from bluebellbay.coordination.core import Core
from bluebellbay.coordination.postings.claim import ClaimPart
from bluebellbay.coordination.queries.query import QueryPart
from bluebellbay.protocol.claim import decode_bucket
from bluebellbay.protocol.command import AnswerCaller
from bluebellbay.protocol.command import LogDecision
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
from bluebellbay.protocol.event import TimerTick
from bluebellbay.protocol.key_range import KEY_SPACE_END
from bluebellbay.protocol.leg import Holding
from bluebellbay.protocol.leg import LegRefusal
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.leg import RefusalReason
from bluebellbay.protocol.profile import Profile
from bluebellbay.protocol.request import QueryRequest
from bluebellbay.state.server import ServerRecord

START_S = 1_000_000.0
STORE_TIMEOUT_S = 0.3
LATE_S = 6.0
LINK_S = 0.002
NODES = 4
INDEX = "ledgerrun"
# All requests share a bucket, so that they meet in one write.
BUCKETS = 1

STORE_FATES = ("ok", "slow", "answer-lost", "lost", "late", "limited")
LEG_FATES = ("ok", "slow", "answer-lost", "broken", "refused", "unsent")
FAULTS = ("freeze", "cut", "store-down", "kill")


class SharedBucketClaimPart(ClaimPart):
    """The claim part, with few buckets."""

    buckets = BUCKETS


@dataclasses.dataclass(frozen=True, kw_only=True)
class Post:
    """A caller's attempt at a request, at one node."""

    node: int
    at: float
    request: str
    expires_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """Something that goes wrong at a node, or at the store."""

    kind: str
    node: int
    at: float
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class History:
    """All that is drawn about one run."""

    posts: tuple
    faults: tuple = ()
    store_fates: tuple = ("ok",)
    leg_fates: tuple = ("ok",)
    # Node, number of its event, commands that still leave it then.
    kills: tuple = ()
    offsets: tuple = (0.0,) * NODES


class PostingNode:
    """One entry VM."""

    def __init__(self, number, offset, limits):
        self.number = number
        self.offset = offset
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
    """Runs one history.

    ``runs`` holds the attempt numbers that ran at the backend, by request;
    ``answers`` the answer of each attempt that got one.
    """

    def __init__(self, history, **limits):
        self.history = history
        self.store = ClaimStore()
        self.store_down_until = 0.0
        self.nodes = [
            PostingNode(number, offset, limits)
            for number, offset in enumerate(history.offsets)
        ]
        self.runs = {}
        self.answers = {}
        self.seen = set()
        self._store_fates = itertools.cycle(history.store_fates)
        self._leg_fates = itertools.cycle(history.leg_fates)
        self._kills = {(node, event): n for node, event, n in history.kills}
        self._order = itertools.count()
        self._heap = []

    def at(self, when, action, *arguments):
        heapq.heappush(
            self._heap, (when, next(self._order), action, arguments)
        )

    def run(self, seconds):
        for number, post in enumerate(self.history.posts):
            self.at(START_S + post.at, self.post, number, post)
        for fault in self.history.faults:
            self.at(START_S + fault.at, self.begin, fault)
        while self._heap and self._heap[0][0] <= START_S + seconds:
            self.now, _, action, arguments = heapq.heappop(self._heap)
            action(*arguments)
        return self

    def begin(self, fault):
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

    def post(self, number, post):
        request = QueryRequest(
            request_id=post.request,
            index=INDEX,
            profile="settlement",
            query=number,
            repeatable=False,
            expires_at=START_S + post.expires_at,
        )
        node = self.nodes[post.node]
        event = QueryArrived(caller=number, request=request)
        self.deliver(node, node.incarnation, event)

    def deliver(self, node, incarnation, event):
        if incarnation != node.incarnation:
            return
        if self.now < node.frozen_until:
            # Timers run last after a thaw, which is the worst order.
            last_s = 1e-6 if isinstance(event, TimerTick) else 0.0
            self.at(
                node.frozen_until + last_s,
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
            for command in node.core.step(event, self.now + node.offset)
            if not isinstance(command, LogDecision)
        ]
        node.events += 1
        leaving = self._kills.get((node.number, node.events))
        for command in commands[:leaving]:
            self.carry(node, command)
        if leaving is not None:
            self.seen.add("killed")
            node.start()
        wake = node.core.get_wakeup_time()
        if wake is not None:
            due = max(wake - node.offset, self.now + 1e-6)
            self.at(due, self.deliver, node, node.incarnation, TimerTick())

    def carry(self, node, command):
        match command:
            case ReadKey() | WriteKey():
                self.call_store(node, command)
            case SendLeg():
                self.send_leg(node, command)
            case AnswerCaller():
                assert command.caller not in self.answers, command
                self.answers[command.caller] = command.answer

    def call_store(self, node, command):
        fate = next(self._store_fates)
        if self.now < node.cut_until or self.now < self.store_down_until:
            fate = "lost"
        self.seen.add(f"store {fate}")
        reached_at = self.now + LINK_S
        failure = StoreCallFailed(
            correlation_id=command.correlation_id,
            key=command.key,
            sent=fate != "limited",
        )
        if fate == "limited":
            self.reply(node, reached_at + LINK_S, failure)
            return
        if fate in ("answer-lost", "lost", "late"):
            self.reply(node, self.now + STORE_TIMEOUT_S, failure)
        if fate == "lost":
            return
        if fate == "late":
            reached_at = self.now + LATE_S
        self.at(reached_at, self.apply, node, node.incarnation, command, fate)

    def apply(self, node, incarnation, command, fate):
        event = self.store.apply(command)
        if fate in ("answer-lost", "late"):
            return
        delay_s = 0.7 if fate == "slow" else LINK_S
        self.at(self.now + delay_s, self.deliver, node, incarnation, event)

    def reply(self, node, when, event):
        self.at(when, self.deliver, node, node.incarnation, event)

    def send_leg(self, node, command):
        fate = next(self._leg_fates)
        self.seen.add(f"leg {fate}")
        leg = command.leg
        self.check_send(node, leg)
        names = {"server": command.server, "attempt": leg.attempt}
        if fate == "unsent":
            event = LegFailed(**names, sent=False)
            self.reply(node, self.now + LINK_S, event)
            return
        if fate == "refused":
            refusal = LegRefusal(
                attempt=leg.attempt, reason=RefusalReason.OVERLOADED
            )
            event = LegRefused(**names, refusal=refusal)
            self.reply(node, self.now + LINK_S, event)
            return
        self.runs.setdefault(leg.request_id, []).append(leg.query)
        if fate in ("answer-lost", "broken"):
            event = LegFailed(**names, sent=True)
            delay_s = command.timeout_s if fate == "answer-lost" else LINK_S
            self.reply(node, self.now + delay_s, event)
            return
        reply = LegReply(
            attempt=leg.attempt,
            snapshot=leg.snapshot,
            start=leg.start,
            end=leg.end,
            rows=make_rows(leg.snapshot, leg.start, leg.end)[:1],
        )
        event = LegReplied(**names, reply=reply)
        delay_s = 1.6 if fate == "slow" else 0.01
        self.reply(node, self.now + delay_s, event)

    def check_send(self, node, leg):
        now = self.now + node.offset
        assert now < leg.expires_at, f"{leg.query} sent expired, at {now}"
        claims = [
            claim
            for claim in self.list_claims()
            if claim.request_id == leg.request_id
        ]
        assert len(claims) == 1, f"{leg.query} sent under {claims}"
        assert claims[0].outcome is None, f"{leg.query} sent after {claims}"

    def list_claims(self):
        for value in self.store.values.values():
            yield from decode_bucket(value).ok.claims

    def check(self):
        """Check what must hold after any history."""
        for request, runs in self.runs.items():
            assert len(runs) < 2, f"{request} ran {len(runs)} times: {runs}"
        for number, answer in self.answers.items():
            request = self.history.posts[number].request
            runs = self.runs.get(request, ())
            if answer.outcome is Outcome.NOT_RUN:
                assert number not in runs, f"{number} ran, told not-run"
            if answer.outcome is Outcome.ANSWERED:
                assert runs, f"{number} told answered, nothing ran"
