"""Simulates a node's core and its backend servers in virtual time."""

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
from bluebellbay.protocol.key_range import KEY_SPACE_END
from bluebellbay.protocol.leg import Holding
from bluebellbay.protocol.leg import LegRefusal
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.leg import RefusalReason
from bluebellbay.protocol.leg import ServerReport
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.profile import Profile
from bluebellbay.protocol.request import QueryRequest
from bluebellbay.settings import parse_settings
from bluebellbay.state.server import ServerRecord

START_S = 1_000_000.0
LATENCY_S = 0.010
REFUSAL_MODES = frozenset(RefusalReason)
ROW_INTERVAL = KEY_SPACE_END // 64


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
    first = -(-start // ROW_INTERVAL) * ROW_INTERVAL
    return tuple(
        Row(key=key, value=f"{snapshot}:{key}")
        for key in range(first, end, ROW_INTERVAL)
    )


class InternalEventRecorder(Part):
    """Records the internal events that the query part emits."""

    @property
    def event_types(self):
        return (ClaimRequested, ClaimFinished, QueriesDrained)

    def step(self, event, now):
        self.recorded_events.append(event)
        return ()

    @property
    def recorded_events(self):
        return self.state.__dict__.setdefault("recorded_events", [])


@dataclasses.dataclass(kw_only=True)
class FakeServer:
    """A simulated backend server.

    :param held: The ranges that it holds.
    :param mode: How it behaves: ``serving``; ``unreachable``, nothing can be
        sent to it; ``unresponsive``, it runs legs and never replies;
        ``resetting connections``, it runs legs and their replies are lost;
        or a refusal reason.
    :param latency_s: Time in seconds from sending a leg to its end.
    :param false_holdings: What its health endpoint reports, if not ``held``.
    :param executed_legs: The legs that it has run.
    """

    name: str
    service: str
    held: list = dataclasses.field(default_factory=list)
    mode: str = "serving"
    latency_s: float = LATENCY_S
    false_holdings: list | None = None
    executed_legs: list = dataclasses.field(default_factory=list)

    def state(self):
        """Return the health report, with the false holdings if any are set."""
        held = (
            self.held if self.false_holdings is None else self.false_holdings
        )
        return ServerReport(server=self.name, holdings=tuple(held))

    def execute_leg(self, leg):
        """Run a leg, or refuse it."""
        if self.mode in REFUSAL_MODES:
            return self.refuse(leg, RefusalReason(self.mode))
        held = [item for item in self.held if item.snapshot == leg.snapshot]
        if not held:
            return self.refuse(leg, RefusalReason.SNAPSHOT_GONE)
        for item in held:
            start = max(item.start, leg.start)
            end = min(item.end, leg.end)
            if start >= end:
                continue
            self.executed_legs.append(leg)
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
    """A core with simulated servers, profiles and a virtual clock."""

    def __init__(self, *, indexes=None, seed=1, profiles=(), **sections):
        indexes = indexes or [{"name": "ink", "services": 2}]
        self.core = Core(
            settings=make_settings(indexes, **sections),
            rng=random.Random(seed),  # noqa: S311
            parts=(ServerPart, LeavingPart, QueryPart, InternalEventRecorder),
        )
        self.state = self.core.state
        self.state.recorded_events = []
        self.now = START_S
        self.servers = {}
        self.answers = {}
        self.answered_at = {}
        self.delivered_events = []
        self.unsent = set()
        self.slots_free_at = {}
        self.legs = []
        self.cancelled = []
        self._scheduled_events = []
        self._order = itertools.count()
        self._caller_numbers = itertools.count(1)
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

    def send_request(self, **fields):
        fields = {"index": "ink", "profile": "desk", **fields}
        caller = next(self._caller_numbers)
        self.step(QueryArrived(caller=caller, request=QueryRequest(**fields)))
        return caller

    def step(self, event):
        for command in self.core.step(event, self.now):
            if isinstance(command, SendLeg):
                self.legs.append((self.now, command))
                self.deliver_leg(command)
            elif isinstance(command, CancelLeg):
                self.cancelled.append(command.attempt)
            elif isinstance(command, PollServer):
                self.schedule(
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

    def schedule(self, due_at, event):
        heapq.heappush(
            self._scheduled_events, (due_at, next(self._order), event)
        )

    def deliver_leg(self, command):
        server = self.servers[command.server]
        leg = command.leg
        due_at = self.now + server.latency_s
        event = LegFailed(server=server.name, attempt=leg.attempt, sent=True)
        if server.mode == "unreachable":
            self.schedule(due_at, dataclasses.replace(event, sent=False))
            self.unsent.add(leg.attempt)
            return
        result = None
        if self.slots_free_at:
            ends_at = self.reserve_slot(server.name)
            if ends_at is None:
                result = server.refuse(leg, RefusalReason.OVERLOADED)
            else:
                due_at = ends_at
        result = result or server.execute_leg(leg)
        if server.mode == "unresponsive":
            self.schedule(self.now + command.timeout_s, event)
            return
        if server.mode == "resetting connections":
            self.schedule(due_at, event)
            return
        if isinstance(result, LegReply):
            kind, field = LegReplied, "reply"
        else:
            kind, field = LegRefused, "refusal"
        event = kind(
            server=server.name, attempt=leg.attempt, **{field: result}
        )
        self.schedule(due_at, event)
        self.delivered_events.append(event)

    def limit_slots(self):
        """Let each server run two legs at once and queue two more."""
        self.slots_free_at = {name: [0.0, 0.0] for name in self.servers}

    def reserve_slot(self, name):
        """Reserve a slot for a leg that is sent now.

        :returns: The time at which it ends, or ``None`` if it is refused.
        """
        slots = self.slots_free_at[name]
        slot = slots.index(min(slots))
        start = max(self.now, slots[slot])
        if start > self.now + self.servers[name].latency_s:
            return None
        slots[slot] = start + self.servers[name].latency_s
        return slots[slot]

    def advance(self, seconds=60.0):
        end = self.now + seconds
        while True:
            timer_at = self.core.get_wakeup_time()
            event_at = (
                self._scheduled_events[0][0]
                if self._scheduled_events
                else float("inf")
            )
            next_at = min(
                event_at, float("inf") if timer_at is None else timer_at
            )
            if next_at > end:
                break
            self.now = max(self.now, next_at)
            if event_at <= next_at:
                self.step(heapq.heappop(self._scheduled_events)[2])
            else:
                self.step(TimerTick())
        self.now = end

    def get_answer(self, caller):
        answers = self.answers.get(caller, [])
        assert len(answers) == 1, answers
        return answers[0]
