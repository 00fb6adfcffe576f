"""Simulation: queries over the shards of a fleet, without a network."""

import dataclasses
import heapq
import itertools
import random

from routing_harness import build_configuration
from routing_harness import build_replica
from routing_harness import build_reply
from routing_harness import build_request
from routing_harness import build_route
from routing_harness import RoutingHarness

from bluebellbay.protocol.delegation import CancelDelegation
from bluebellbay.protocol.delegation import DelegateQuery
from bluebellbay.protocol.delegation import DelegationAnswered
from bluebellbay.protocol.delegation import PeerProbed
from bluebellbay.protocol.delegation import ProbePeer
from bluebellbay.protocol.exchange import AttemptFailed
from bluebellbay.protocol.exchange import AttemptReplied
from bluebellbay.protocol.exchange import CancelAttempt
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import SendAttempt
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.registry import ConfigurationReceived
from bluebellbay.protocol.registry import NodesListed
from bluebellbay.protocol.registry import ReplicasListed
from bluebellbay.protocol.registry import StoreConfirmed

ROUTE = "wide"
START_S = 100.0
PAUSE_S = 0.150
PAUSE_INTERVAL_S = 3.6
SLOW_S = 0.6
SLOW_FACTOR = 2.5
EVENT_S = 0.0002
WRITE_S = 0.0015
CALLER_S = 0.0005
NEAR_S = 0.0002
LATE_VALUE = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """A deployment and what it is exposed to."""

    nodes: int = 36
    shards: int = 90
    copies: int = 3
    domains: int = 3
    objective_s: float = 0.177
    min_coverage: float = 0.9
    attempts: int = 3
    slack: float = 188.0
    per_s: float = 12.0
    median_s: float = 0.045
    slow_share: float = 0.15
    late_s: float = 0.015
    far_s: float = 0.0034


class SimulatedReplica:
    """Serves attempts in its slots, with pauses and slow periods."""

    def __init__(self, world, rng):
        self._world = world
        self._rng = rng
        self._speed = rng.uniform(0.8, 1.3)
        self._pause_at = rng.uniform(0, PAUSE_INTERVAL_S)
        self._free_at = [0.0, 0.0]
        self._slow = {}

    def compute_end(self, at):
        slot = self._free_at.index(min(self._free_at))
        start = max(at, self._free_at[slot])
        load = self._world.load
        work_s = load.median_s * self._speed * self._rng.lognormvariate(0, 0.2)
        period = int(start / SLOW_S)
        if period not in self._slow:
            self._slow[period] = self._rng.random() < load.slow_share
        if self._slow[period]:
            work_s *= SLOW_FACTOR
        end = start + work_s
        since_pause = (start - self._pause_at) % PAUSE_INTERVAL_S
        if since_pause < PAUSE_S:
            end += PAUSE_S - since_pause
        elif since_pause + work_s > PAUSE_INTERVAL_S:
            end += PAUSE_S
        self._free_at[slot] = end
        return end


class SimulatedNode(RoutingHarness):
    """A node whose events wait for its processor; its timers are late."""

    def __init__(self, world, entry, **fields):
        super().__init__(
            node=entry.name, domain=entry.failure_domain, **fields
        )
        self.entry = entry
        self.world = world
        self.busy_until = 0.0
        self.tick_at = None

    def receive(self, event):
        """Handle an event once the processor is free."""
        start = max(self.world.now, self.busy_until)
        self.busy_until = start + EVENT_S
        self.world.schedule(start, lambda: self.handle(event))

    def handle(self, event):
        self.now = self.world.now
        if isinstance(event, TimerTick):
            self.tick_at = None
        self.feed(event)
        wake_at = self.core.get_wakeup_time()
        if wake_at is None or (self.tick_at and self.tick_at <= wake_at):
            return
        self.tick_at = wake_at
        late_s = self.world.load.late_s * self.world.rng.random()
        at = max(wake_at, self.now) + late_s
        self.world.schedule(at, lambda: self._tick(wake_at))

    def _tick(self, wake_at):
        if self.tick_at == wake_at:
            self.receive(TimerTick())

    def _record(self, command):
        self.world.execute(self, command)


class WideWorld:
    """Plays queries at the nodes of a fleet and scores their answers."""

    def __init__(self, load, *, seed=1):
        self.load = load
        self.rng = random.Random(seed)
        self.now = START_S
        self.sent = 0
        self.extra = 0
        self.results = {}
        self._events = []
        self._order = itertools.count()
        self._exchanges = itertools.count(1)
        self._callers = {}
        self._delegated = {}
        self._cancelled = set()
        domains = [f"zone-{name}" for name in "abc"[: load.domains]]
        entries = [
            NodeEntry(
                name=f"node-{number}",
                address=f"10.0.0.{number}:7000",
                failure_domain=domains[number % len(domains)],
            )
            for number in range(load.nodes)
        ]
        shards = [f"shard-{number}" for number in range(load.shards)]
        replicas = tuple(
            build_replica(
                f"{shard}-{copy}",
                shard,
                failure_domain=domains[(number + copy) % len(domains)],
            )
            for number, shard in enumerate(shards)
            for copy in range(load.copies)
        )
        self.replicas = {
            entry.replica_id: SimulatedReplica(
                self, random.Random(f"{seed}/{entry.replica_id}")
            )
            for entry in replicas
        }
        route = build_route(
            ROUTE,
            shards=shards,
            objective_s=load.objective_s,
            min_coverage=load.min_coverage,
            attempt_limit=load.attempts,
        )
        self.nodes = {
            entry.name: SimulatedNode(
                self, entry, nodes=load.nodes, slack=load.slack, seed=number
            )
            for number, entry in enumerate(entries)
        }
        for node in self.nodes.values():
            node.feed(NodesListed(nodes=tuple(entries)))
            configuration = build_configuration(1, route, connections=99)
            node.feed(ConfigurationReceived(configuration=configuration))
            node.feed(ReplicasListed(entries=replicas))
            node.feed(StoreConfirmed(confirmed_at=self.now))

    def schedule(self, at, action):
        heapq.heappush(self._events, (at, next(self._order), action))

    def run(self, seconds):
        """Play queries at random times, then wait for their ends."""
        at = self.now
        until = at + seconds
        while at < until:
            self.schedule(at, self._open)
            at += self.rng.expovariate(self.load.per_s)
        for number in range(int(seconds)):
            self.schedule(self.now + number, self._confirm)
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def score(self, *, since_s=0.0):
        """Return the shares in time and of shards, and the value earned."""
        results = [
            self.results.get(exchange, (9.0, 0.0))
            for exchange, sent_at in self._callers.items()
            if sent_at >= START_S + since_s
        ]
        in_time = [share for s, share in results if s <= self.load.objective_s]
        value = sum(
            share**2 * (1 if s <= self.load.objective_s else LATE_VALUE)
            for s, share in results
        )
        return {
            "in time": len(in_time) / len(results),
            "coverage": sum(in_time) / max(1, len(in_time)),
            "value": value / len(results),
            "extra": self.extra / max(1, self.sent),
        }

    def execute(self, node, command):
        kind = type(command)
        if kind is SendAttempt:
            self._attempt(node, command)
        elif kind in (CancelAttempt, CancelDelegation):
            self._cancel(node, command.attempt)
        elif kind is DelegateQuery:
            self._delegate(node, command)
        elif kind is ProbePeer:
            event = PeerProbed(name=command.peer.name, answered=True)
            self._send(node, event, 2 * self.load.far_s)
        elif hasattr(command, "exchange"):
            self._answer(node, command)

    def _send(self, node, event, delay_s):
        self.schedule(self.now + delay_s, lambda: node.receive(event))

    def _confirm(self):
        for node in self.nodes.values():
            node.now = self.now
            node.feed(StoreConfirmed(confirmed_at=self.now))

    def _open(self):
        exchange = next(self._exchanges)
        self._callers[exchange] = self.now
        node = self.rng.choice(list(self.nodes.values()))
        event = ExchangeOpened(
            exchange=exchange,
            request=build_request(ROUTE, number=exchange),
            age_s=CALLER_S,
            return_s=CALLER_S,
        )
        self._send(node, event, CALLER_S)

    def _attempt(self, node, command):
        replica = command.replica
        delay_s = self._compute_delay(node, replica.failure_domain)
        at = self.now + delay_s + 0.001
        end = self.replicas[replica.replica_id].compute_end(at)
        key = (node.entry.name, command.attempt)
        self.sent += 1
        self.extra += node.core.context.attempts[command.attempt].is_retry

        def reply():
            if key not in self._cancelled:
                event = AttemptReplied(
                    attempt=command.attempt,
                    reply=build_reply(replica.service),
                )
                node.receive(event)

        self.schedule(end + delay_s, reply)

    def _cancel(self, node, number):
        self._cancelled.add((node.entry.name, number))
        failure = AttemptFailed(attempt=number, sent=True, reason="cancelled")
        self._send(node, failure, 0.0)

    def _delegate(self, node, command):
        peer = self.nodes[command.peer.name]
        exchange = next(self._exchanges)
        delay_s = self._compute_delay(node, peer.entry.failure_domain)
        self._delegated[exchange] = (node, command.attempt, delay_s)
        event = ExchangeOpened(
            exchange=exchange,
            request=dataclasses.replace(
                command.request, delegation=command.terms
            ),
            age_s=delay_s,
            return_s=delay_s,
        )
        self._send(peer, event, delay_s + WRITE_S)

    def _answer(self, node, answer):
        if answer.exchange in self._callers:
            seconds = self.now - self._callers[answer.exchange]
            share = 0.0
            if isinstance(answer, MergedAnswer):
                share = len(answer.digests) / self.load.shards
            self.results[answer.exchange] = (
                seconds + WRITE_S + CALLER_S,
                share,
            )
            return
        sender, number, delay_s = self._delegated[answer.exchange]
        event = DelegationAnswered(attempt=number, answer=answer)

        def arrive():
            if (sender.entry.name, number) not in self._cancelled:
                sender.receive(event)

        self.schedule(self.now + WRITE_S + delay_s, arrive)

    def _compute_delay(self, node, domain):
        near = node.entry.failure_domain == domain
        return NEAR_S if near else self.load.far_s
