"""Steps about what a node knows over random histories of the store."""

import dataclasses
import random

import behave
from hypothesis import strategies
from query_history_steps import hold_for_all
from simulated_store import build_node
from simulated_store import Outage
from simulated_store import SimulatedStore
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bluebellbay.coordination.routing.core import RoutingCore
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.router_rules import RouterRules
from bluebellbay.protocol.store_allowance import StoreAllowance
from bluebellbay.transport.follower import StoreFollower
from bluebellbay.transport.store_pace import StorePace
from bluebellbay_platform.schema import PlatformSchema

SEEDS = strategies.integers(min_value=0, max_value=2**32)
NODE_COUNTS = (1, 4, 12, 36, 78, 480)
# Limits after a removal and after a fault, in seconds, as deployments have.
LIMITS = ((3.0, 4.0), (5.0, 5.0), (6.0, 6.0))
COPY_AGES_S = (0.0, 0.5)
PAGE_SIZES = (1, 3, 500)
# A page takes a step at least, so a listing must not have too many.
MOST_NODES_IN_SMALL_PAGES = 12
REPLICAS = 12
STEP_S = 0.02
START_S = 100.0
CALM_S = 8.0
LENGTH_S = 36.0
LONGEST_OUTAGE_S = 7.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """A time in which the node is not in touch, or the store not stable."""

    start: float
    end: float


class StoreHistory:
    """A node, its store and replicas, with faults and removals at random.

    :param seed: Seed of all that is random.
    :param copy_age_s: Age of the store's copies.
    :param nodes: Number of nodes; random by default.
    """

    store_class = SimulatedStore

    def __init__(self, seed, *, copy_age_s=0.0, nodes=None):
        self.rng = random.Random(seed)
        self.removal_limit_s, self.recovery_limit_s = self.rng.choice(LIMITS)
        self.faults = []
        self.actions = []
        self.clock = Clock()
        self.clock.advance(START_S)
        nodes = nodes or self.rng.choice(NODE_COUNTS)
        self.store = self.store_class(
            clock=self.clock,
            rng=self.rng,
            page_items=(
                self.rng.choice(PAGE_SIZES)
                if nodes <= MOST_NODES_IN_SMALL_PAGES
                else max(PAGE_SIZES)
            ),
            copy_age_s=copy_age_s,
        )
        schema = PlatformSchema(report_unreadable=self.fail)
        for number in range(nodes):
            self.store.write_node(schema, f"n{number}")
        for number in range(REPLICAS):
            self.store.add_replica(f"r{number}")
        allowance = StoreAllowance(
            change_limit_s=self.removal_limit_s,
            removal_limit_s=self.removal_limit_s,
            recovery_limit_s=self.recovery_limit_s,
        )
        self.core = RoutingCore(
            rules=RouterRules(node="n", failure_domain="z", store=allowance),
            rng=self.rng,
        )
        self.follower = StoreFollower(
            reactor=self.clock,
            client=self.store,
            schema=schema,
            node=build_node("n0"),
            report=lambda event: self.core.step(event, self.clock.seconds()),
            report_exception=self.fail,
            rng=self.rng,
            pace=StorePace(allowance=allowance),
            count_nodes=lambda: self.core.state.nodes,
            read_version=lambda: self.core.state.routes.version,
        )

    def fail(self, *reasons):
        raise AssertionError(reasons)

    def choose_time(self):
        return START_S + CALM_S + self.rng.random() * (LENGTH_S - CALM_S)

    def add_random_outages(self):
        for _ in range(self.rng.randrange(2)):
            self.add_outage(
                self.rng.uniform(0.2, LONGEST_OUTAGE_S),
                refuses=self.rng.random() < 0.5,
            )

    def add_outage(self, length_s, *, refuses, start=None):
        start = start or self.choose_time()
        outage = Outage(start=start, end=start + length_s, refuses=refuses)
        self.store.outages = (*self.store.outages, outage)
        self.faults.append(Fault(start=start, end=outage.end))

    def add_random_faults(self):
        for _ in range(self.rng.randrange(3)):
            at = self.choose_time()
            self.store.silent_at = (*self.store.silent_at, at)
            self.faults.append(Fault(start=at, end=at))
        if self.rng.random() < 0.3:
            at = self.choose_time()
            self.faults.append(Fault(start=at, end=at))
            self.actions.append((at, self.store.forget_history))
        for _ in range(self.rng.randrange(8)):
            self.actions.append((self.choose_time(), self.store.cut_watches))

    def add_random_removals(self):
        names = self.rng.sample(list(self.store.replicas), REPLICAS // 2)
        at = self.choose_time()
        for name in names:
            if self.rng.random() < 0.3:
                at = self.choose_time()
            else:
                at += self.rng.choice((0.0, 0.1, 0.4, 2.0))
            self.actions.append((at, self.store.remove_replica, name))

    def run(self, check):
        """Play the history, with a check at each step."""
        self.follower.start()
        actions = sorted(self.actions, key=lambda action: action[0])
        while self.clock.seconds() < START_S + LENGTH_S + CALM_S:
            self.clock.advance(STEP_S)
            now = self.clock.seconds()
            while actions and actions[0][0] <= now:
                _, act, *arguments = actions.pop(0)
                act(*arguments)
            self.store.run_replicas()
            due_at = self.core.get_wakeup_time()
            if due_at is not None and due_at <= now:
                self.core.step(TimerTick(), now)
            check(now)
        self.follower.stop()

    def is_calm(self, now):
        """Tell whether no fault was there for the time after a fault."""
        return not any(
            fault.start <= now and fault.end > now - self.recovery_limit_s
            for fault in self.faults
        )

    def check_removals(self, now):
        """Check that no replica is kept past the limit.

        That is, later than the limit after the store has accepted its removal
        while it was stable, by a node in touch.
        """
        if not self.is_calm(now):
            return
        for replica in self.store.replicas.values():
            removed_at = replica.removed_at
            if removed_at is None or not self.is_calm(removed_at):
                continue
            if now > removed_at + self.removal_limit_s:
                late_s = now - removed_at
                assert self.find_record(replica.name) is None, late_s

    def find_record(self, name):
        return self.core.state.replicas.find(name)


@behave.then(
    "over random histories no node in touch keeps a replica past the limit"
)
def check_removals(context):
    del context

    @hold_for_all(SEEDS, strategies.sampled_from(COPY_AGES_S), examples=120)
    def check(seed, copy_age_s):
        history = StoreHistory(seed, copy_age_s=copy_age_s)
        history.add_random_outages()
        history.add_random_faults()
        history.add_random_removals()
        history.run(history.check_removals)

    check()


@behave.then(
    "a removal is read in time by each of {nodes:d} nodes although a watch "
    "was lost, with copies {copy_age_s:g} s old"
)
def check_lost_watch(context, nodes, copy_age_s):
    del context
    history = StoreHistory(1, copy_age_s=copy_age_s, nodes=nodes)
    first_at = START_S + CALM_S
    pause_s = history.core.state.rules.store.compute_pause(nodes)
    # The watch that follows the pause is made while the store hangs.
    history.add_outage(0.3, refuses=False, start=first_at + pause_s - 0.1)
    calm_at = first_at + pause_s + history.recovery_limit_s + 1
    for at, name in ((first_at, "r0"), (calm_at, "r1")):
        history.actions.append((at, history.store.remove_replica, name))
    history.run(history.check_removals)


@behave.then(
    "a batch of {changes:d} changes read beside a listing is not taken for "
    "the present"
)
def check_batch_beside_listing(context, changes):
    del context
    history = StoreHistory(1, nodes=1)
    history.store.page_items = 1
    # A check confirms what it has shown, so none is answered here.
    history.store.read_revision = Deferred
    schema = PlatformSchema(report_unreadable=history.fail)
    history.follower.start()
    history.clock.advance(STEP_S)
    written_at = history.clock.seconds()
    for number in range(changes):
        history.store.write_node(schema, f"new-{number}")
    while not history.core.state.replicas_listed:
        history.clock.advance(STEP_S)
    history.follower.stop()
    assert history.core.state.store.confirmed_at <= written_at


@behave.then("over random outages each live replica stays known")
def check_lapses(context):
    del context

    @hold_for_all(SEEDS, examples=40)
    def check(seed):
        history = StoreHistory(seed)
        history.add_outage(
            history.rng.uniform(0.2, LONGEST_OUTAGE_S), refuses=True
        )
        records = {}

        def check_step(now):
            for name in history.store.replicas:
                record = history.find_record(name)
                if now < START_S + CALM_S:
                    records[name] = record
                assert record is records[name], (now, name)

        history.run(check_step)
        assert all(records.values())

    check()
