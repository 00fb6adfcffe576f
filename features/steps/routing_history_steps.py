"""Steps about invariants over random histories of routed requests."""

import collections
import itertools
import random

import behave
from hypothesis import strategies
from query_history_steps import hold_for_all
from routing_harness import build_configuration
from routing_harness import build_replica
from routing_harness import build_route
from routing_harness import RoutingHarness

from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeAbandoned
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import RefusalKind
from bluebellbay.protocol.process import ShutdownRequested
from bluebellbay.protocol.registry import ConfigurationReceived
from bluebellbay.protocol.registry import ReplicaRemoved
from bluebellbay.protocol.registry import StoreAnswered
from bluebellbay.protocol.registry import StoreConfirmed
from bluebellbay.protocol.registry import StoreConnectionLost
from bluebellbay.protocol.registry import StoreConnectionRestored

SEEDS = strategies.integers(min_value=0, max_value=2**32)
ACTIONS_PER_HISTORY = 120
REPLICAS = 3
SHARDS = tuple(f"shard-{number}" for number in range(4))
RETRY_SHARE = 0.2
RETRY_SLACK = 12.0
RETRY_WINDOW_S = 10.0
MAX_DURATION_S = 1.3
# Ends after which a request may have run: not refused and not unsent.
POSSIBLY_EXECUTED = ("reply", "failure", "break", "silence")


class RandomHistory:
    """Drives a routing core at random and records each attempt's end."""

    def __init__(self, seed, *, idempotent, shards=()):
        self.rng = random.Random(seed)
        self.harness = RoutingHarness(seed=seed, slack=RETRY_SLACK)
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
        self.harness.configure(1, self.route)
        for service in self.services:
            for number in range(REPLICAS):
                self.harness.add_replicas(
                    build_replica(f"{service}-{number}", service)
                )

    def run(self):
        for _ in range(ACTIONS_PER_HISTORY):
            self.rng.choice(
                (
                    self.open_exchange,
                    self.open_exchange,
                    self.end_random_attempt,
                    self.end_random_attempt,
                    self.end_random_attempt,
                    self.advance_time,
                    self.change_replica,
                    self.change_store,
                    self.abandon_random_exchange,
                )
            )()
        self.harness.feed(ShutdownRequested())
        for number in self.harness.list_open_attempts():
            self.end(number)
        self.harness.advance(MAX_DURATION_S)
        return self

    def open_exchange(self):
        exchange = next(self.numbers)
        self.opened[exchange] = self.harness.now
        self.harness.open_exchange(exchange, "route")

    def end_random_attempt(self):
        open_ = self.harness.list_open_attempts()
        if open_:
            self.end(self.rng.choice(open_))

    def end(self, number):
        kind = self.rng.choice(
            ("reply", "reply", *POSSIBLY_EXECUTED, "refuse", "unsent")
        )
        self.ends[number] = kind
        if kind == "reply":
            service = self.harness.attempts[number].command.replica.service
            self.harness.reply(number, digest=f"{service}/{number}")
        elif kind == "failure":
            self.harness.reply(number, status=500)
        elif kind == "break":
            self.harness.fail(number)
        elif kind == "refuse":
            self.harness.refuse(number, self.rng.choice(list(RefusalKind)))
        elif kind == "unsent":
            self.harness.fail(number, sent=False)

    def advance_time(self):
        self.harness.advance(self.rng.choice((0.001, 0.02, 0.2, 1.0)))

    def change_replica(self):
        service = self.rng.choice(self.services)
        name = f"{service}-{self.rng.randrange(REPLICAS)}"
        if self.rng.random() < 0.3:
            self.harness.feed(ReplicaRemoved(replica_id=name))
            return
        draining = self.rng.random() < 0.3
        entry = build_replica(
            name,
            service,
            draining=draining,
            sequence=len(self.harness.commands) + 1,
        )
        self.harness.add_replicas(entry)
        record = self.harness.core.state.replicas.find(name)
        if record is not None and record.entry == entry:
            self.draining[name] = self.harness.now if draining else None

    def change_store(self):
        self.harness.feed(
            self.rng.choice(
                (
                    StoreConnectionLost(
                        reason="reset", asked_at=self.harness.now
                    ),
                    StoreConnectionRestored(),
                    StoreAnswered(),
                    StoreConfirmed(confirmed_at=self.harness.now),
                )
            )
        )

    def abandon_random_exchange(self):
        waiting = [
            exchange
            for exchange in self.opened
            if exchange not in self.harness.answers
            and exchange not in self.abandoned
        ]
        if waiting and self.rng.random() < 0.3:
            exchange = self.rng.choice(waiting)
            self.abandoned.add(exchange)
            self.harness.feed(ExchangeAbandoned(exchange=exchange))

    def count_executions(self, exchange):
        """Count by service the attempts that may have run the request."""
        executions = collections.Counter()
        for number, attempt in self.harness.attempts.items():
            command = attempt.command
            if command.request.request_id != f"request-{exchange}":
                continue
            if self.ends.get(number, "silence") in POSSIBLY_EXECUTED:
                executions[command.replica.service] += 1
        return executions


@behave.then(
    "over random histories no non-idempotent request runs twice or "
    'is wrongly "not run"'
)
def check_non_idempotent(context):
    del context

    @hold_for_all(SEEDS)
    def check(seed):
        history = RandomHistory(seed, idempotent=False).run()
        for exchange in history.opened:
            executions = history.count_executions(exchange).total()
            assert executions <= 1
            answer = history.harness.answers.get(exchange)
            if isinstance(answer, ErrorAnswer) and not answer.ran:
                assert executions == 0

    check()


@behave.then("over random histories no shard gets more attempts than allowed")
def check_attempts(context):
    del context

    @hold_for_all(SEEDS)
    def check(seed):
        history = RandomHistory(seed, idempotent=True, shards=SHARDS).run()
        for exchange in history.opened:
            executions = history.count_executions(exchange)
            assert all(count <= 2 for count in executions.values()), executions

    check()


def list_attempts(harnesses):
    """List time, service and whether it is a retry, over all nodes."""
    attempts = []
    for harness in harnesses:
        sent_keys = set()
        for number in sorted(harness.attempts):
            attempt = harness.attempts[number]
            service = attempt.command.replica.service
            key = (attempt.command.request.request_id, service)
            attempts.append((attempt.sent_at, service, key in sent_keys))
            sent_keys.add(key)
    return sorted(attempts)


def check_budget(harnesses):
    attempts = list_attempts(harnesses)
    for service in {service for _, service, _ in attempts}:
        own = [item for item in attempts if item[1] == service]
        for end, _, repeat in own:
            if not repeat:
                continue
            window = [
                item for item in own if end - RETRY_WINDOW_S < item[0] <= end
            ]
            repeats = sum(item[2] for item in window)
            allowed = RETRY_SHARE * (len(window) - repeats) + RETRY_SLACK
            assert repeats <= allowed, (repeats, allowed)


def drive_load(harness, rng, *, exchange):
    harness.open_exchange(exchange, "route")
    for number in harness.list_open_attempts():
        if rng.random() < 0.5:
            harness.refuse(number)
        elif rng.random() < 0.3:
            harness.reply(number)
    harness.advance(rng.choice((0.01, 0.1, 0.4)))


def build_node(seed, number, *, first_start, now):
    harness = RoutingHarness(
        seed=seed + number,
        nodes=3,
        slack=RETRY_SLACK,
        node=f"node-{number}",
        first_start=first_start,
    )
    harness.now = now
    harness.configure(1, build_route("route", service="service"))
    for replica in range(REPLICAS):
        harness.add_replicas(build_replica(f"r{replica}", "service"))
    return harness


@behave.then(
    "over random loads of 3 nodes retries stay within share and slack"
)
def check_shared_budget(context):
    del context

    @hold_for_all(SEEDS, examples=40)
    def check(seed):
        rng = random.Random(seed)
        harnesses = [
            build_node(seed, number, first_start=True, now=100.0)
            for number in range(3)
        ]
        for exchange in range(1, 80):
            for harness in harnesses:
                drive_load(harness, rng, exchange=exchange)
        check_budget(harnesses)

    check()


def check_restart_history(seed):
    rng = random.Random(seed)
    node_runs = [
        [build_node(seed, number, first_start=True, now=100.0)]
        for number in range(3)
    ]
    for exchange in range(1, 80):
        for number, node in enumerate(node_runs):
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
    check_budget([harness for node in node_runs for harness in node])


@behave.then("over random restarts retries stay within share and slack")
def check_restarts(context):
    del context

    @hold_for_all(SEEDS, examples=40)
    def check(seed):
        check_restart_history(seed)

    check()


@behave.then(
    "over the restarts of seed {seed:d} and seeds {first:d} to {last:d} "
    "retries stay within share and slack"
)
def check_restarts_of_seeds(context, seed, first, last):
    del context
    for number in (seed, *range(first, last + 1)):
        check_restart_history(number)


@behave.then("over random histories nothing is sent to a draining replica")
def check_draining(context):
    del context

    @hold_for_all(SEEDS)
    def check(seed):
        history = RandomHistory(seed, idempotent=True)
        record_unchecked = history.harness._record

        def record_checked(command):
            replica = getattr(command, "replica", None)
            if hasattr(command, "deadline_s") and replica is not None:
                since = history.draining.get(replica.replica_id)
                assert since is None, replica
                assert not replica.draining
            record_unchecked(command)

        history.harness._record = record_checked
        history.run()

    check()


@behave.then(
    "over random changes of shards each answer has shards of one set only"
)
def check_reshards(context):
    del context

    @hold_for_all(SEEDS)
    def check(seed):
        rng = random.Random(seed)
        history = RandomHistory(seed, idempotent=True, shards=SHARDS)
        other_shards = tuple(f"other-{number}" for number in range(5))
        history.harness.add_replicas(
            *(build_replica(f"r-{shard}", shard) for shard in other_shards)
        )
        for version in range(2, 5):
            for _ in range(rng.randrange(1, 8)):
                history.open_exchange()
                history.end_random_attempt()
                history.advance_time()
            shards = other_shards if version % 2 == 0 else SHARDS
            history.harness.configure(
                version, build_route("route", shards=shards)
            )
            for _ in range(20):
                history.end_random_attempt()
        history.harness.advance(MAX_DURATION_S)
        for answer in history.harness.answers.values():
            if not isinstance(answer, MergedAnswer):
                continue
            shards = {digest.split("/")[0] for digest in answer.digests}
            assert shards <= set(SHARDS) or shards <= set(other_shards)
            known = SHARDS if shards <= set(SHARDS) else other_shards
            assert len(answer.digests) + answer.missing == len(known)

    check()


@behave.then("over random reads of configurations the version never decreases")
def check_versions(context):
    del context

    @hold_for_all(strategies.lists(strategies.integers(1, 9), max_size=20))
    def check(versions):
        harness = RoutingHarness()
        highest = 0
        for version in versions:
            route = build_route(f"route-{version}", service="service")
            configuration = build_configuration(version, route)
            harness.feed(ConfigurationReceived(configuration=configuration))
            highest = max(highest, version)
            assert harness.core.state.routes.version == highest

    check()


@behave.then(
    "over random histories each request is answered once and its attempts end"
)
def check_answers(context):
    del context

    @hold_for_all(SEEDS)
    def check(seed):
        for shards in ((), SHARDS):
            history = RandomHistory(seed, idempotent=True, shards=shards).run()
            for exchange in history.opened:
                answered = exchange in history.harness.answers
                assert answered != (exchange in history.abandoned)
            # Each attempt has ended, or its replica was told to stop.
            for number, attempt in history.harness.attempts.items():
                assert attempt.ended or attempt.cancelled, number

    check()
