"""A node's core and fake backend servers in virtual time, for the steps."""

import dataclasses
import heapq
import itertools
import random

from bluebellbay.coordination.core import Core
from bluebellbay.coordination.part import Part
from bluebellbay.coordination.queries.query import QueryPart
from bluebellbay.coordination.servers.leaving import LeavingPart
from bluebellbay.coordination.servers.server import ServerPart
from bluebellbay.protocol.answer import Row
from bluebellbay.protocol.command import AnswerCaller
from bluebellbay.protocol.command import CancelLeg
from bluebellbay.protocol.command import PollServer
from bluebellbay.protocol.command import SendLeg
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.configuration import ProfileRecord
from bluebellbay.protocol.event import ClaimFinished
from bluebellbay.protocol.event import ClaimRequested
from bluebellbay.protocol.event import LegFailed
from bluebellbay.protocol.event import LegRefused
from bluebellbay.protocol.event import LegReplied
from bluebellbay.protocol.event import QueriesDrained
from bluebellbay.protocol.event import QueryArrived
from bluebellbay.protocol.event import ServerPolled
from bluebellbay.protocol.event import TimerTick
from bluebellbay.protocol.key_range import KEY_SPACE_END
from bluebellbay.protocol.leg import Holding
from bluebellbay.protocol.leg import LegRefusal
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.leg import RefusalReason
from bluebellbay.protocol.leg import ServerReport
from bluebellbay.protocol.profile import Profile
from bluebellbay.protocol.request import QueryRequest
from bluebellbay.settings import parse_settings
from bluebellbay.state.server import ServerRecord

START_S = 1_000_000.0
LATENCY_S = 0.010
REFUSALS = frozenset(RefusalReason)
ROW_STEP = KEY_SPACE_END // 64


def make_settings(indexes, **sections):
    return parse_settings(
        {
            "node": {
                "name": "entry-1",
                "failure_domain": "fd-1",
                "listen": "127.0.0.1:0",
                "peer_listen": "127.0.0.1:0",
            },
            "platform": {
                "store": "http://127.0.0.1:1",
                "vm_list": "http://127.0.0.1:1",
            },
            "indexes": indexes,
            **sections,
        }
    ).ok


def make_rows(snapshot, start, end):
    first = -(-start // ROW_STEP) * ROW_STEP
    return tuple(
        Row(key=key, value=f"{snapshot}:{key}")
        for key in range(first, end, ROW_STEP)
    )


class RecorderPart(Part):
    """Keeps the internal events that the query part sends to others."""

    @property
    def event_types(self):
        return (ClaimRequested, ClaimFinished, QueriesDrained)

    def step(self, event, now):
        self.seen.append(event)
        return ()

    @property
    def seen(self):
        return self.state.__dict__.setdefault("seen", [])


@dataclasses.dataclass(kw_only=True)
class FakeServer:
    """A backend server: what it truly holds and how it behaves."""

    name: str
    service: str
    held: list = dataclasses.field(default_factory=list)
    mode: str = "serve"
    latency_s: float = LATENCY_S
    lie: list | None = None
    runs: list = dataclasses.field(default_factory=list)

    def state(self):
        """Answer a read of the health endpoint, perhaps with a lie."""
        held = self.held if self.lie is None else self.lie
        return ServerReport(server=self.name, holdings=tuple(held))

    def read(self, leg):
        """Run a leg, or refuse it."""
        if self.mode in REFUSALS:
            return self.refuse(leg, RefusalReason(self.mode))
        held = [item for item in self.held if item.snapshot == leg.snapshot]
        if not held:
            return self.refuse(leg, RefusalReason.SNAPSHOT_GONE)
        for item in held:
            start = max(item.start, leg.start)
            end = min(item.end, leg.end)
            if start >= end:
                continue
            self.runs.append(leg)
            return LegReply(
                attempt=leg.attempt,
                snapshot=leg.snapshot,
                start=start,
                end=end,
                rows=make_rows(leg.snapshot, start, end),
            )
        return self.refuse(leg, RefusalReason.NOT_HELD)

    def refuse(self, leg, reason):
        return LegRefusal(attempt=leg.attempt, reason=reason)


class QueryWorld:
    """A core with servers, profiles and a virtual clock."""

    def __init__(self, *, indexes=None, seed=1, profiles=(), **sections):
        indexes = indexes or [{"name": "ink", "services": 2}]
        self.core = Core(
            settings=make_settings(indexes, **sections),
            rng=random.Random(seed),  # noqa: S311
            parts=(ServerPart, LeavingPart, QueryPart, RecorderPart),
        )
        self.state = self.core.state
        self.state.seen = []
        self.now = START_S
        self.servers = {}
        self.answers = {}
        self.answered_at = {}
        self.delivered = []
        self.unsent = set()
        self.busy_until = {}
        self.legs = []
        self.cancelled = []
        self._heap = []
        self._order = itertools.count()
        self._callers = itertools.count(1)
        self.set_profiles(*(profiles or (Profile(name="desk"),)))

    def set_profiles(self, *profiles):
        self.state.configuration.accept(
            ConfigurationDocument(
                revision=self.state.configuration.revision + 1,
                change_id="x",
                profiles=tuple(
                    ProfileRecord(name=item.name, revision=1, profile=item)
                    for item in profiles
                ),
            )
        )

    def add_server(self, name, service, held, *, index="ink", **fields):
        settings = self.state.servers.indexes[index]
        self.servers[name] = FakeServer(
            name=name, service=service, held=list(held), **fields
        )
        self.state.servers.servers[name] = ServerRecord(
            name=name,
            address=f"{name}:1",
            failure_domain="fd-1",
            index=index,
            service=service,
            slots=settings.slots,
            connection_limit=settings.connection_limit,
            added_at=self.now - 3600,
        )
        self.report(name)

    def report(self, name):
        self.step(ServerPolled(server=name, report=self.servers[name].state()))

    def add_services(self, count=2, replicas=2, snapshots=(1,), index="ink"):
        for number in range(count):
            held = [
                Holding(
                    snapshot=snapshot,
                    start=KEY_SPACE_END * number // count,
                    end=KEY_SPACE_END * (number + 1) // count,
                )
                for snapshot in snapshots
            ]
            for replica in range(replicas):
                self.add_server(
                    f"{index}-{number}-{replica}",
                    f"{index}-{number}",
                    held,
                    index=index,
                )

    def ask(self, **fields):
        fields = {"index": "ink", "profile": "desk", **fields}
        caller = next(self._callers)
        self.step(QueryArrived(caller=caller, request=QueryRequest(**fields)))
        return caller

    def step(self, event):
        for command in self.core.step(event, self.now):
            if isinstance(command, SendLeg):
                self.legs.append((self.now, command))
                self.deliver(command)
            elif isinstance(command, CancelLeg):
                self.cancelled.append(command.attempt)
            elif isinstance(command, PollServer):
                self.at(
                    self.now + LATENCY_S,
                    ServerPolled(
                        server=command.server,
                        report=self.servers[command.server].state(),
                    ),
                )
            elif isinstance(command, AnswerCaller):
                self.answered_at[command.caller] = self.now
                self.answers.setdefault(command.caller, []).append(
                    command.answer
                )

    def at(self, when, event):
        heapq.heappush(self._heap, (when, next(self._order), event))

    def deliver(self, command):
        server = self.servers[command.server]
        leg = command.leg
        at = self.now + server.latency_s
        event = LegFailed(server=server.name, attempt=leg.attempt, sent=True)
        if server.mode == "cut":
            self.at(at, dataclasses.replace(event, sent=False))
            self.unsent.add(leg.attempt)
            return
        result = None
        if self.busy_until:
            ends_at = self.take_slot(server.name)
            if ends_at is None:
                result = server.refuse(leg, RefusalReason.OVERLOADED)
            else:
                at = ends_at
        result = result or server.read(leg)
        if server.mode == "silent":
            self.at(self.now + command.timeout_s, event)
            return
        if server.mode == "broken":
            self.at(at, event)
            return
        if isinstance(result, LegReply):
            kind, field = LegReplied, "reply"
        else:
            kind, field = LegRefused, "refusal"
        event = kind(
            server=server.name, attempt=leg.attempt, **{field: result}
        )
        self.at(at, event)
        self.delivered.append(event)

    def limit_slots(self):
        """Let each server run two legs at once and queue two more."""
        self.busy_until = {name: [0.0, 0.0] for name in self.servers}

    def take_slot(self, name):
        """Find when a leg that is sent now would end; none if refused."""
        slots = self.busy_until[name]
        place = slots.index(min(slots))
        start = max(self.now, slots[place])
        if start > self.now + self.servers[name].latency_s:
            return None
        slots[place] = start + self.servers[name].latency_s
        return slots[place]

    def run(self, seconds=60.0):
        end = self.now + seconds
        while True:
            wake = self.core.get_wakeup_time()
            arrival = self._heap[0][0] if self._heap else float("inf")
            when = min(arrival, float("inf") if wake is None else wake)
            if when > end:
                break
            self.now = max(self.now, when)
            if arrival <= when:
                self.step(heapq.heappop(self._heap)[2])
            else:
                self.step(TimerTick())
        self.now = end

    def answer_of(self, caller):
        answers = self.answers.get(caller, [])
        assert len(answers) == 1, answers
        return answers[0]
