"""A fleet of routing cores before replicas that name rate limits."""

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
from bluebellbay.protocol.exchange import AttemptFailed
from bluebellbay.protocol.exchange import AttemptReplied
from bluebellbay.protocol.exchange import CancelAttempt
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import ForwardAnswer
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import SendAttempt
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.rate_permit import AskForPermit
from bluebellbay.protocol.rate_permit import PermitAnswer
from bluebellbay.protocol.rate_permit import PermitAnswered
from bluebellbay.protocol.rate_permit import PermitAsked
from bluebellbay.protocol.rate_permit import PermitFailed
from bluebellbay.protocol.registry import ConfigurationReceived
from bluebellbay.protocol.registry import EvacuationsListed
from bluebellbay.protocol.registry import NodesListed
from bluebellbay.protocol.registry import ReplicasListed
from bluebellbay.protocol.registry import StoreConfirmed
from bluebellbay.protocol.replica import ReplicaCondition
from bluebellbay.protocol.router_rules import RouterRules

DOMAINS = ("zone-a", "zone-b", "zone-c")
SERVICE = "ledger"
SHARDS = ("shard-0", "shard-1", "shard-2")
WAY_S = 0.002
WORK_S = 0.03
STORE_READ_S = 1.0
# The rule: in any 4 s one and a half times the limit, and 5 requests more.
RULE_WINDOW_S = 4.0
RULE_FACTOR = 1.5
RULE_SLACK = 5
TOLD_S = 0.5


@dataclasses.dataclass(kw_only=True)
class LimitedReplica:
    """A replica, what it names when, and what it gets."""

    entry: object
    # Time in seconds, rate or ``None``; the last one that has come holds.
    rates: list = dataclasses.field(default_factory=list)
    # Time, node and start of the node of each request.
    arrivals: list = dataclasses.field(default_factory=list)

    def get_rate(self, now):
        current = None
        for at, rate in self.rates:
            if at <= now:
                current = rate
        return current


class FleetNode:
    """One process of a node."""

    def __init__(self, fleet, number, *, first_start):
        self.fleet = fleet
        self.name = f"n{number}"
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.boot = next(fleet.boots)
        self.alive = True
        # Whether it can't reach the store, or other nodes.
        self.cut = False
        self.lost = False
        self.next_tick = None
        rules = RouterRules(
            node=self.name,
            failure_domain=self.domain,
            first_start=first_start,
            nodes=fleet.count,
        )
        self.core = RoutingCore(
            rules=rules, rng=random.Random(fleet.rng.random())
        )
        # When this process was first told a limit, by replica.
        self.told_at = {}
        self.open_attempts = {}

    @property
    def entry(self):
        return NodeEntry(
            name=self.name, address=self.name, failure_domain=self.domain
        )

    def read_store(self):
        fleet = self.fleet
        if not self.alive:
            return
        if not self.cut:
            self.feed(NodesListed(nodes=tuple(fleet.members.values())))
            self.feed(StoreConfirmed(confirmed_at=fleet.now))
        fleet.call(STORE_READ_S, self.read_store)

    def feed(self, event):
        if not self.alive:
            return
        now = self.fleet.now
        for command in self.core.step(event, now):
            self.fleet.execute(self, command)
        wake_at = self.core.get_wakeup_time()
        if wake_at is None:
            return
        wake_at = max(wake_at, now + 1e-4)
        if self.next_tick is None or wake_at < self.next_tick - 1e-9:
            self.next_tick = wake_at
            self.fleet.call(wake_at - now, self.tick, wake_at)

    def tick(self, at):
        if self.next_tick == at:
            self.next_tick = None
            self.feed(TimerTick())


class LimitFleet:
    """Plays nodes, their callers and replicas on a clock of its own.

    :param count: Number of nodes.
    :param per_s: Requests a second that callers send, over all nodes.
    :param wide: Whether they are queries over three shards.
    :param first_start: Whether the nodes know that no other came before.
    """

    def __init__(
        self,
        *,
        count,
        per_s,
        seed,
        replicas=3,
        wide=False,
        first_start=False,
    ):
        self.rng = random.Random(seed)
        self.count = count
        self.per_s = per_s
        self.now = 100.0
        self.boots = itertools.count()
        self.members = {}
        self.nodes = []
        self.answers = collections.Counter()
        self.log = []
        self.exchanges = {}
        self.asks = 0
        self.asked = {}
        self._events = []
        self._sequence = itertools.count()
        self._exchange = itertools.count(1)
        services = SHARDS if wide else (SERVICE,)
        self.route = (
            build_route("query", shards=SHARDS)
            if wide
            else build_route("query", service=SERVICE)
        )
        self.replicas = {
            f"{service}-{copy}": LimitedReplica(
                entry=build_replica(
                    f"{service}-{copy}",
                    service,
                    failure_domain=DOMAINS[copy % len(DOMAINS)],
                    slots=8,
                )
            )
            for service in services
            for copy in range(replicas)
        }
        for number in range(count):
            node = FleetNode(self, number, first_start=first_start)
            self.nodes.append(node)
            self.members[node.name] = node.entry
        for node in self.nodes:
            self._start(node)
        self._send_next()

    def call(self, delay_s, function, *args):
        at = self.now + delay_s
        item = (at, next(self._sequence), function, args)
        heapq.heappush(self._events, item)

    def run(self, seconds):
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self._events)
            function(*args)
        self.now = until

    def restart(self, number, *, down_s=0.5, notice=True):
        former = self.nodes[number]
        former.alive = False
        if notice:
            self.members.pop(former.name, None)
        self.call(down_s, self._restart, number)

    def _restart(self, number):
        node = FleetNode(self, number, first_start=False)
        self.nodes[number] = node
        self.members[node.name] = node.entry
        self._start(node)

    def _start(self, node):
        node.feed(EvacuationsListed(domains=frozenset()))
        node.feed(
            ConfigurationReceived(
                configuration=build_configuration(
                    1, self.route, connections=10 * self.count
                )
            )
        )
        entries = tuple(item.entry for item in self.replicas.values())
        node.feed(ReplicasListed(entries=entries))
        node.read_store()

    def _send_next(self):
        self.call(self.rng.expovariate(self.per_s), self._send_next)
        node = self.rng.choice(self.nodes)
        if not node.alive:
            return
        number = next(self._exchange)
        self.exchanges[number] = (node, self.now)
        node.feed(
            ExchangeOpened(
                exchange=number,
                request=build_request("query", number=number),
                age_s=0.0,
                return_s=0.0,
            )
        )

    def execute(self, node, command):
        if isinstance(command, SendAttempt):
            node.open_attempts[command.attempt] = command
            self.call(WAY_S, self._arrive, node, command)
        elif isinstance(command, CancelAttempt):
            if node.open_attempts.pop(command.attempt, None) is not None:
                self.call(
                    0.0,
                    node.feed,
                    AttemptFailed(
                        attempt=command.attempt, sent=True, reason="cancelled"
                    ),
                )
        elif isinstance(command, (ForwardAnswer, MergedAnswer, ErrorAnswer)):
            self._note_answer(command)
        elif hasattr(command, "sentence"):
            self.log.append((self.now, node.name, command))
        elif isinstance(command, AskForPermit):
            self.asks += 1
            self.call(WAY_S, self._deliver_ask, node, command)
        elif isinstance(command, PermitAnswer):
            asker, attempt = self.asked.pop(command.exchange)
            answered = PermitAnswered(
                attempt=attempt,
                granted=command.granted,
                room_s=command.room_s,
                news=command.news,
            )
            self.call(WAY_S, asker.feed, answered)

    def _deliver_ask(self, node, command):
        peers = [item for item in self.nodes if item.name == command.peer.name]
        if not peers or not peers[0].alive or node.lost or peers[0].lost:
            failed = PermitFailed(attempt=command.attempt, reason="time-out")
            self.call(command.timeout_s, node.feed, failed)
            return
        number = next(self._exchange)
        self.asked[number] = (node, command.attempt)
        peers[0].feed(PermitAsked(exchange=number, ask=command.ask))

    def _note_answer(self, command):
        _, arrived_at = self.exchanges.pop(command.exchange)
        served = not isinstance(command, ErrorAnswer)
        self.answers["served" if served else "refused"] += 1
        if not served:
            self.answers["slow refusals"] += self.now - arrived_at > 0.1

    def _arrive(self, node, command):
        replica = self.replicas[command.replica.replica_id]
        replica.arrivals.append((self.now, node))
        work_s = WORK_S * self.rng.uniform(0.7, 1.3)
        self.call(work_s, self._answer, node, command)

    def _answer(self, node, command):
        if node.open_attempts.pop(command.attempt, None) is None:
            return
        replica = self.replicas[command.replica.replica_id]
        rate = replica.get_rate(self.now)
        if rate is not None and node.alive:
            node.told_at.setdefault(command.replica.replica_id, self.now)
        node.feed(
            AttemptReplied(
                attempt=command.attempt,
                reply=build_reply(body=b"0" * 16),
                condition=ReplicaCondition(rate_per_s=rate),
            )
        )


def find_worst_excess(replica, *, until):
    """Find by how much a replica got more than it may in some 4 s.

    :returns: Requests more than allowed; the number may be negative.
    """
    name = replica.entry.replica_id
    named = [(at, rate) for at, rate in replica.rates if rate is not None]
    first_at = named[0][0]
    ends = [at for at, rate in replica.rates if rate is None] or [until]
    highest = max(rate for _, rate in named)
    allowed = RULE_FACTOR * highest * RULE_WINDOW_S + RULE_SLACK
    times = sorted(
        at
        for at, node in replica.arrivals
        if first_at <= at < ends[0]
        and name in node.told_at
        and at >= node.told_at[name] + TOLD_S
    )
    worst = -allowed
    first = 0
    for last, at in enumerate(times):
        while at - times[first] > RULE_WINDOW_S:
            first += 1
        worst = max(worst, last - first + 1 - allowed)
    return worst
