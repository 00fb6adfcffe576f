"""Steps about promises over random histories of routed requests."""

import collections
import itertools
import random

import behave
from hypothesis import strategies
from query_history_steps import hold_for_all
from routing_world import build_configuration
from routing_world import build_replica
from routing_world import build_route
from routing_world import RoutingWorld

from bluebellbay.protocol.event import ShutdownRequested
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeAbandoned
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import RefusalKind
from bluebellbay.protocol.registry import ConfigurationFound
from bluebellbay.protocol.registry import ReplicaUnlisted
from bluebellbay.protocol.registry import StoreLost
from bluebellbay.protocol.registry import StoreRegained

SEEDS = strategies.integers(min_value=0, max_value=2**32)
STEPS = 120
REPLICAS = 3
SHARDS = tuple(f"shard-{number}" for number in range(4))
SHARE = 0.2
SLACK = 12.0
WINDOW_S = 10.0
LONGEST_S = 1.3
# What may have run: all but refusals and what never left.
RAN = ("reply", "failure", "break", "silence")


class History:
    """Drives a world at random and keeps how each attempt ended."""

    def __init__(self, seed, *, idempotent, shards=()):
        self.rng = random.Random(seed)
        self.world = RoutingWorld(seed=seed, slack=SLACK)
        self.numbers = itertools.count(1)
        self.ends = {}
        self.opened = {}
        self.abandoned = set()
        self.draining = {}
        self.route = build_route(
            "route",
            service=None if shards else "service",
            shards=shards,
            idempotent=idempotent,
        )
        self.services = shards or ("service",)
        self.world.configure(1, self.route)
        for service in self.services:
            for number in range(REPLICAS):
                self.world.see(build_replica(f"{service}-{number}", service))

    def run(self):
        for _ in range(STEPS):
            self.rng.choice(
                (
                    self.arrive,
                    self.arrive,
                    self.end_some,
                    self.end_some,
                    self.end_some,
                    self.pass_time,
                    self.change_replica,
                    self.change_store,
                    self.abandon_some,
                )
            )()
        self.world.feed(ShutdownRequested())
        for number in self.world.list_open():
            self.end(number)
        self.world.advance(LONGEST_S)
        return self

    def arrive(self):
        exchange = next(self.numbers)
        self.opened[exchange] = self.world.now
        self.world.open(exchange, "route")

    def end_some(self):
        open_ = self.world.list_open()
        if open_:
            self.end(self.rng.choice(open_))

    def end(self, number):
        kind = self.rng.choice(("reply", "reply", *RAN, "refuse", "unsent"))
        self.ends[number] = kind
        if kind == "reply":
            service = self.world.arrivals[number].command.replica.service
            self.world.reply(number, digest=f"{service}/{number}")
        elif kind == "failure":
            self.world.reply(number, status=500)
        elif kind == "break":
            self.world.fail(number)
        elif kind == "refuse":
            self.world.refuse(number, self.rng.choice(list(RefusalKind)))
        elif kind == "unsent":
            self.world.fail(number, sent=False)

    def pass_time(self):
        self.world.advance(self.rng.choice((0.001, 0.02, 0.2, 1.0)))

    def change_replica(self):
        service = self.rng.choice(self.services)
        name = f"{service}-{self.rng.randrange(REPLICAS)}"
        if self.rng.random() < 0.3:
            self.world.feed(ReplicaUnlisted(replica_id=name))
            return
        draining = self.rng.random() < 0.3
        entry = build_replica(
            name,
            service,
            draining=draining,
            sequence=len(self.world.commands) + 1,
        )
        self.world.see(entry)
        record = self.world.core.state.replicas.find(name)
        if record is not None and record.entry == entry:
            self.draining[name] = self.world.now if draining else None

    def change_store(self):
        lost = self.rng.random() < 0.5
        self.world.feed(StoreLost(reason="reset") if lost else StoreRegained())

    def abandon_some(self):
        waiting = [
            exchange
            for exchange in self.opened
            if exchange not in self.world.answers
            and exchange not in self.abandoned
        ]
        if waiting and self.rng.random() < 0.3:
            exchange = self.rng.choice(waiting)
            self.abandoned.add(exchange)
            self.world.feed(ExchangeAbandoned(exchange=exchange))

    def count_runs(self, exchange):
        """Count by service the attempts that may have run."""
        runs = collections.Counter()
        for number, arrival in self.world.arrivals.items():
            command = arrival.command
            if command.request.request_id != f"request-{exchange}":
                continue
            if self.ends.get(number, "silence") in RAN:
                runs[command.replica.service] += 1
        return runs


@behave.then(
    'over random histories no posting runs twice or is falsely "not run"'
)
def check_postings(context):
    del context

    @hold_for_all(SEEDS)
    def check(seed):
        history = History(seed, idempotent=False).run()
        for exchange in history.opened:
            runs = history.count_runs(exchange).total()
            assert runs <= 1
            answer = history.world.answers.get(exchange)
            if isinstance(answer, ErrorAnswer) and not answer.ran:
                assert runs == 0

    check()


@behave.then("over random histories no shard is tried more often than allowed")
def check_attempts(context):
    del context

    @hold_for_all(SEEDS)
    def check(seed):
        history = History(seed, idempotent=True, shards=SHARDS).run()
        for exchange in history.opened:
            runs = history.count_runs(exchange)
            assert all(count <= 2 for count in runs.values()), runs

    check()


def list_arrivals(worlds):
    """List time, service and whether it is a repeat, over all nodes."""
    arrivals = []
    for world in worlds:
        seen = set()
        for number in sorted(world.arrivals):
            arrival = world.arrivals[number]
            service = arrival.command.replica.service
            key = (arrival.command.request.request_id, service)
            arrivals.append((arrival.sent_at, service, key in seen))
            seen.add(key)
    return sorted(arrivals)


def check_budget(worlds):
    arrivals = list_arrivals(worlds)
    for service in {service for _, service, _ in arrivals}:
        own = [item for item in arrivals if item[1] == service]
        for end, _, repeat in own:
            if not repeat:
                continue
            window = [item for item in own if end - WINDOW_S < item[0] <= end]
            repeats = sum(item[2] for item in window)
            allowed = SHARE * (len(window) - repeats) + SLACK
            assert repeats <= allowed, (repeats, allowed)


def drive_load(world, rng, *, exchange):
    world.open(exchange, "route")
    for number in world.list_open():
        if rng.random() < 0.5:
            world.refuse(number)
        elif rng.random() < 0.3:
            world.reply(number)
    world.advance(rng.choice((0.01, 0.1, 0.4)))


def build_node(seed, number, *, first_start, now):
    world = RoutingWorld(
        seed=seed + number,
        nodes=3,
        slack=SLACK,
        node=f"node-{number}",
        first_start=first_start,
    )
    world.now = now
    world.configure(1, build_route("route", service="service"))
    for replica in range(REPLICAS):
        world.see(build_replica(f"r{replica}", "service"))
    return world


@behave.then(
    "over random loads of 3 nodes repeats stay within share and slack"
)
def check_shared_budget(context):
    del context

    @hold_for_all(SEEDS, examples=40)
    def check(seed):
        rng = random.Random(seed)
        worlds = [
            build_node(seed, number, first_start=True, now=100.0)
            for number in range(3)
        ]
        for exchange in range(1, 80):
            for world in worlds:
                drive_load(world, rng, exchange=exchange)
        check_budget(worlds)

    check()


@behave.then("over random restarts repeats stay within share and slack")
def check_restarts(context):
    del context

    @hold_for_all(SEEDS, examples=40)
    def check(seed):
        rng = random.Random(seed)
        lives = [
            [build_node(seed, number, first_start=True, now=100.0)]
            for number in range(3)
        ]
        for exchange in range(1, 80):
            for number, node in enumerate(lives):
                if rng.random() < 0.03:
                    node.append(
                        build_node(
                            seed + len(node),
                            number,
                            first_start=False,
                            now=node[-1].now,
                        )
                    )
                drive_load(node[-1], rng, exchange=exchange)
        check_budget([world for node in lives for world in node])

    check()


@behave.then("over random histories nothing is sent to a draining replica")
def check_draining(context):
    del context

    @hold_for_all(SEEDS)
    def check(seed):
        history = History(seed, idempotent=True)
        send = history.world._keep

        def keep(command):
            replica = getattr(command, "replica", None)
            if hasattr(command, "deadline_s") and replica is not None:
                since = history.draining.get(replica.replica_id)
                assert since is None, replica
                assert not replica.draining
            send(command)

        history.world._keep = keep
        history.run()

    check()


@behave.then("over random reshards each answer lists shards of one set only")
def check_reshards(context):
    del context

    @hold_for_all(SEEDS)
    def check(seed):
        rng = random.Random(seed)
        history = History(seed, idempotent=True, shards=SHARDS)
        others = tuple(f"other-{number}" for number in range(5))
        history.world.see(
            *(build_replica(f"r-{shard}", shard) for shard in others)
        )
        for version in range(2, 5):
            for _ in range(rng.randrange(1, 8)):
                history.arrive()
                history.end_some()
                history.pass_time()
            shards = others if version % 2 == 0 else SHARDS
            history.world.configure(
                version, build_route("route", shards=shards)
            )
            for _ in range(20):
                history.end_some()
        history.world.advance(LONGEST_S)
        for answer in history.world.answers.values():
            if not isinstance(answer, MergedAnswer):
                continue
            shards = {digest.split("/")[0] for digest in answer.digests}
            assert shards <= set(SHARDS) or shards <= set(others)
            known = SHARDS if shards <= set(SHARDS) else others
            assert len(answer.digests) + answer.missing == len(known)

    check()


@behave.then("over random reads of configurations the version only rises")
def check_versions(context):
    del context

    @hold_for_all(strategies.lists(strategies.integers(1, 9), max_size=20))
    def check(versions):
        world = RoutingWorld()
        highest = 0
        for version in versions:
            route = build_route(f"route-{version}", service="service")
            configuration = build_configuration(version, route)
            world.feed(ConfigurationFound(configuration=configuration))
            highest = max(highest, version)
            assert world.core.state.routes.version == highest

    check()


@behave.then("over random histories each request is answered once in its time")
def check_answers(context):
    del context

    @hold_for_all(SEEDS)
    def check(seed):
        for shards in ((), SHARDS):
            history = History(seed, idempotent=True, shards=shards).run()
            for exchange in history.opened:
                answered = exchange in history.world.answers
                assert answered != (exchange in history.abandoned)
            # Each attempt has ended, or its replica was told to stop.
            for number, arrival in history.world.arrivals.items():
                assert arrival.ended or arrival.cancelled, number

    check()
