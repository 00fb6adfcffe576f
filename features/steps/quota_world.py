"""A simulated fleet whose nodes share the quota of an account."""

import collections
import dataclasses
import heapq
import itertools
import random

from routing_harness import build_configuration
from routing_harness import build_replica
from routing_harness import build_reply
from routing_harness import build_request
from routing_harness import build_route

from bluebellbay.coordination.routing.core import RoutingCore
from bluebellbay.protocol.account import ClientAccount
from bluebellbay.protocol.delegation import PeerProbed
from bluebellbay.protocol.delegation import ProbePeer
from bluebellbay.protocol.exchange import AttemptReplied
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import SendAttempt
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.quota import AskLender
from bluebellbay.protocol.quota import LenderAnswered
from bluebellbay.protocol.quota import LenderFailed
from bluebellbay.protocol.quota import QuotaAnswer
from bluebellbay.protocol.quota import QuotaAsked
from bluebellbay.protocol.registry import ConfigurationReceived
from bluebellbay.protocol.registry import EvacuationsListed
from bluebellbay.protocol.registry import NodeLeaseEnded
from bluebellbay.protocol.registry import NodesListed
from bluebellbay.protocol.registry import ReplicaUpdated
from bluebellbay.protocol.registry import StoreConfirmed
from bluebellbay.protocol.router_rules import QuotaLimits
from bluebellbay.protocol.router_rules import RouterRules

WINDOW_S = 5.0
DOMAINS = ("zone-a", "zone-b", "zone-c")
QUOTA = QuotaLimits(overage=0.0, slack=0.0, domains=DOMAINS)
STORE_INTERVAL_S = 0.5
LEASE_S = 3.0
CALL_TIMEOUT_S = 0.5
MAX_TRANSIT_S = 0.1
KEY = b"Bearer k"


def find_most_runs(runs, window_s=WINDOW_S):
    """Return the most runs in any window, and when that window ends."""
    most = (0, 0.0)
    recent = collections.deque()
    for at in sorted(runs):
        recent.append(at)
        while recent[0] <= at - window_s:
            recent.popleft()
        most = max(most, (len(recent), at))
    return most


@dataclasses.dataclass(eq=False, kw_only=True)
class Node:
    """A process with its core and its clock."""

    entry: NodeEntry
    core: RoutingCore
    clock_offset: float
    clock_rate: float
    frozen_until: float = 0.0
    store_cut_until: float = 0.0
    peers_cut_until: float = 0.0
    backlog: list = dataclasses.field(default_factory=list)
    alive: bool = True
    version: int = 0
    lag_s: float = 0.0
    wakes_at: float = float("inf")

    def read_clock(self, now):
        return self.clock_offset + self.clock_rate * now


class QuotaWorld:
    """Plays a history, and records when each request arrives at a replica."""

    def __init__(self, *, seed, nodes, rate, burst, first_start):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.runs = []
        self.refused = []
        self.nodes = {}
        # Limit of each version, and when it was in force at any node.
        self.limits = {}
        self.in_force = []
        self._queue = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        self._asks = {}
        self._leases = {}
        self._views = [(0.0, ())]
        self.set_limit(rate, burst, spread_s=0.0)
        for number in range(nodes):
            self._register(self.build_entry(number))
        for number in range(nodes):
            self.start(number, first_start=first_start)

    def build_entry(self, number):
        return NodeEntry(
            name=f"node-{number}",
            address=f"10.0.0.{number}:1",
            failure_domain=DOMAINS[number % len(DOMAINS)],
        )

    def at(self, time, action):
        heapq.heappush(self._queue, (time, next(self._order), action))

    def play(self, until):
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def set_limit(self, rate, burst, *, spread_s):
        version = len(self.limits) + 1
        self.limits[version] = rate * WINDOW_S + burst
        self._account = ClientAccount(
            name="account", keys=("k",), rate_per_s=rate, burst=burst
        )
        for node in self.nodes.values():
            self.at(
                self.now + self.rng.uniform(0, spread_s),
                lambda node=node, account=self._account: self._configure(
                    node, version, account
                ),
            )

    def start(self, number, *, first_start=False):
        entry = self.build_entry(number)
        former = self.nodes.get(entry.name)
        if former is not None:
            self._note_version(former)
            former.alive = False
        rules = RouterRules(
            node=entry.name,
            failure_domain=entry.failure_domain,
            first_start=first_start,
            quota=QUOTA,
        )
        node = self.nodes[entry.name] = Node(
            entry=entry,
            core=RoutingCore(
                rules=rules, rng=random.Random(self.rng.random())
            ),
            clock_offset=self.rng.uniform(100, 1000),
            clock_rate=self.rng.uniform(0.9995, 1.0005),
        )
        self._configure(node, len(self.limits), self._account)
        self.feed(node, EvacuationsListed(domains=frozenset()))
        self.feed(node, ReplicaUpdated(entry=build_replica("r", "plain")))
        self._follow_store(node)

    def freeze(self, name, seconds):
        node = self.nodes[name]
        node.frozen_until = max(node.frozen_until, self.now + seconds)
        self.at(node.frozen_until, lambda: self._thaw(node))

    def send_request(self, name):
        request = build_request("plain", credentials=(KEY,))
        self.feed(
            self.nodes[name],
            ExchangeOpened(
                exchange=next(self._numbers), request=request, age_s=0.0
            ),
        )

    def find_limit(self, at):
        """Return the greatest limit in force at a node in the window."""
        versions = {
            version
            for version, since, until in (
                *self.in_force,
                *(
                    (node.version, node.since, at)
                    for node in self.nodes.values()
                ),
            )
            if since <= at and until >= at - WINDOW_S
        }
        return max(self.limits[version] for version in versions)

    def feed(self, node, event):
        if not node.alive:
            return
        if node.frozen_until > self.now:
            node.backlog.append(event)
            return
        for command in node.core.step(event, node.read_clock(self.now)):
            self._execute(node, command)
        self._schedule(node)

    def _schedule(self, node):
        wake_at = node.core.get_wakeup_time()
        if wake_at is None:
            return
        at = (wake_at - node.clock_offset) / node.clock_rate + 1e-6
        at = max(self.now + 1e-4, at)
        if node.wakes_at <= at:
            return
        node.wakes_at = at
        self.at(at, lambda: self._wake(node, at))

    def _wake(self, node, at):
        if node.wakes_at == at:
            node.wakes_at = float("inf")
        self.feed(node, TimerTick())

    def _thaw(self, node):
        if node.frozen_until > self.now:
            return
        events, node.backlog = node.backlog, []
        for event in events:
            self.feed(node, event)

    def _configure(self, node, version, account):
        if not node.alive:
            return
        if node.frozen_until > self.now:
            self.at(
                node.frozen_until,
                lambda: self._configure(node, version, account),
            )
            return
        self._note_version(node)
        node.version = version
        node.since = self.now
        configuration = build_configuration(
            version, build_route("plain", service="plain")
        )
        self.feed(
            node,
            ConfigurationReceived(
                configuration=dataclasses.replace(
                    configuration, accounts=(account,)
                )
            ),
        )

    def _note_version(self, node):
        if node.version:
            self.in_force.append((node.version, node.since, self.now))

    def _execute(self, node, command):
        if isinstance(command, SendAttempt):
            self.runs.append(self.now + self.rng.uniform(0, MAX_TRANSIT_S))
            reply = build_reply()
            self.at(
                self.now,
                lambda: self.feed(
                    node, AttemptReplied(attempt=command.attempt, reply=reply)
                ),
            )
        elif isinstance(command, AskLender):
            self._send_ask(node, command)
        elif isinstance(command, QuotaAnswer):
            self._send_answer(node, command)
        elif isinstance(command, ErrorAnswer):
            self.refused.append(self.now)
        elif isinstance(command, ProbePeer):
            answered = self._reaches(node, self.nodes[command.peer.name])
            event = PeerProbed(name=command.peer.name, answered=answered)
            self.at(self.now + 0.01, lambda: self.feed(node, event))

    def _draw_delay(self):
        if self.rng.random() < 0.1:
            return self.rng.uniform(0, 0.1)
        return self.rng.uniform(0.0002, 0.005)

    def _reaches(self, node, peer):
        return (
            peer.alive
            and node.peers_cut_until <= self.now
            and peer.peers_cut_until <= self.now
        )

    def _send_ask(self, node, command):
        peer = self.nodes[command.peer.name]
        failed = LenderFailed(attempt=command.attempt, reason="late")
        ends_at = self.now + CALL_TIMEOUT_S
        self.at(ends_at, lambda: self.feed(node, failed))
        exchange = next(self._numbers)
        self._asks[exchange] = (node, command.attempt, ends_at)
        asked = QuotaAsked(exchange=exchange, ask=command.ask)
        if self._reaches(node, peer):
            self.at(
                self.now + self._draw_delay(), lambda: self.feed(peer, asked)
            )

    def _send_answer(self, lender, command):
        node, attempt, ends_at = self._asks.pop(command.exchange)
        answer = LenderAnswered(
            attempt=attempt, granted=command.granted, room_s=command.room_s
        )
        at = self.now + self._draw_delay()
        if self._reaches(lender, node) and at < ends_at:
            self.at(at, lambda: self.feed(node, answer))

    def _register(self, entry):
        self._leases[entry.name] = (entry, self.now + LEASE_S)

    def _update_view(self):
        self._leases = {
            name: (entry, until)
            for name, (entry, until) in self._leases.items()
            if until > self.now
        }
        entries = tuple(entry for entry, _ in self._leases.values())
        if entries != self._views[-1][1]:
            self._views.append((self.now, entries))

    def _follow_store(self, node):
        """Renew the lease, and read the store's items as of some time ago."""
        if not node.alive:
            return
        self.at(self.now + STORE_INTERVAL_S, lambda: self._follow_store(node))
        if max(node.store_cut_until, node.frozen_until) > self.now:
            return
        self._update_view()
        if node.entry.name not in self._leases:
            self.feed(node, NodeLeaseEnded(name=node.entry.name))
        self._register(node.entry)
        self._update_view()
        read_at = max(0.0, self.now - node.lag_s)
        nodes = next(
            entries
            for since, entries in reversed(self._views)
            if since <= read_at
        )
        self.feed(node, NodesListed(nodes=nodes))
        self.feed(node, StoreConfirmed(confirmed_at=node.read_clock(read_at)))
