"""Steps about the division of the retry slack."""

import random

import behave
from hypothesis import strategies
from query_history_steps import hold_for_all
from routing_harness import build_replica
from routing_harness import build_route
from routing_harness import RoutingHarness

from bluebellbay.coordination.routing.slack_share import compute_common_share
from bluebellbay.coordination.routing.slack_share import SAFETY_FACTOR
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.registry import NodesListed
from bluebellbay.protocol.registry import ReplicasListed
from bluebellbay.protocol.registry import StoreConfirmed

RATIO = 0.2
SLACK = 100.0
WINDOW_S = 10.0
LEASE_S = 3.0
SHARDS = tuple(f"shard-{number}" for number in range(40))
NEW_SHARDS = tuple(f"new-{number}" for number in range(40))
CHECKED = SHARDS[:3]


class StoreNode:
    """A node that reads the store from time to time, and spends all it may."""

    def __init__(self, world, entry, *, first_start):
        self.world = world
        self.entry = entry
        self.harness = RoutingHarness(
            node=entry.name,
            domain=entry.failure_domain,
            nodes=world.planned,
            slack=world.slack,
            first_start=first_start,
        )
        self.cut_until = 0.0
        self.lag_s = 0.0
        self.view = None
        self.harness.now = world.now
        self.harness.configure(1, build_route("wide", shards=SHARDS))

    def read(self):
        """Take the store's state of the recent past, never an older one."""
        now = self.harness.now = self.world.now
        if now < self.cut_until:
            return
        self.world.register(self.entry)
        at, nodes, lost = self.world.read(now - self.lag_s)
        if self.view is not None and at < self.view[0]:
            at, nodes, lost = self.view
        feed = self.harness.feed
        if self.view is None or self.view[1:] != (nodes, lost):
            feed(NodesListed(nodes=tuple(sorted(nodes, key=str))))
            feed(ReplicasListed(entries=self.world.list_replicas(lost)))
        self.view = (at, nodes, lost)
        feed(StoreConfirmed(confirmed_at=max(at, now - self.lag_s)))

    def spend(self, rng):
        for service in CHECKED:
            budget = self.harness.core.context.budgets.get(
                service, self.world.now
            )
            if rng.random() < 0.1:
                budget.record_request(self.world.now)
                self.world.requests.append((self.world.now, service))
            while budget.try_acquire(self.world.now):
                self.world.extra.append((self.world.now, service))


class StoreWorld:
    """Nodes that know the store's entries late, and what they spend."""

    def __init__(self, domains, planned, *, slack=SLACK):
        self.now = 1000.0
        self.slack = slack
        self.planned = planned
        self.domains = [f"zone-{number}" for number in range(domains)]
        self.requests = []
        self.extra = []
        self.nodes = {}
        self._listed = {}
        self._lost = frozenset()
        self._states = []
        for number in range(planned):
            self.start(number, first_start=True)
        for node in self.nodes.values():
            self.register(node.entry)

    def start(self, number, *, first_start=False):
        domain = self.domains[number % len(self.domains)]
        entry = NodeEntry(
            name=f"node-{number}", address="10.0.0.1:1", failure_domain=domain
        )
        node = StoreNode(self, entry, first_start=first_start)
        self.nodes[entry.name] = node

    def register(self, entry):
        is_new = entry not in self._listed
        self._listed[entry] = self.now
        if is_new:
            self._note()

    def lose_replicas(self, lost):
        self._lost = frozenset(lost)
        self._note()

    def expire_leases(self):
        for entry, written_at in tuple(self._listed.items()):
            if self.now - written_at > LEASE_S:
                del self._listed[entry]
                self._note()

    def read(self, at):
        """Return the state at some time, with the time since it held."""
        states = [state for state in self._states if state[0] <= at]
        return (states or self._states)[-1]

    def list_replicas(self, lost):
        return tuple(
            build_replica(f"{shard}-{domain}", shard, failure_domain=domain)
            for shard in SHARDS
            for domain in self.domains
            if (shard, domain) not in lost
        )

    def step(self, seconds, rng):
        self.now += seconds
        for node in self.nodes.values():
            node.read()
        self.expire_leases()
        for node in self.nodes.values():
            node.harness.now = self.now
            node.spend(rng)

    def check(self):
        for service in CHECKED:
            requests = [at for at, name in self.requests if name == service]
            extra = [at for at, name in self.extra if name == service]
            for end in sorted(set(extra)):
                spent = sum(end - WINDOW_S < at <= end for at in extra)
                asked = sum(end - WINDOW_S < at <= end for at in requests)
                assert spent <= RATIO * asked + SLACK, (end, spent, asked)

    def _note(self):
        self._states.append((self.now, frozenset(self._listed), self._lost))


def change_world(world, rng):
    """Apply one random change, most of them small."""
    node = rng.choice(list(world.nodes.values()))
    kind = rng.randrange(7)
    if kind == 0:
        node.cut_until = world.now + rng.choice((2, 5, 12, 30))
    elif kind == 1:
        del world.nodes[node.entry.name]
    elif kind == 2:
        number = int(node.entry.name.split("-")[1])
        world.start(number + rng.choice((0, world.planned)))
    elif kind == 3:
        node.lag_s = rng.choice((0.0, 2.0, 9.0))
    elif kind == 4:
        domain = rng.choice(world.domains)
        count = rng.choice((0, 8, 24, 40))
        world.lose_replicas((shard, domain) for shard in SHARDS[-count:])
    if not world.nodes:
        world.start(0)


def check_extra_sends_of(seed):
    rng = random.Random(seed)
    domains = rng.choice((1, 1, 2, 3))
    world = StoreWorld(domains, 4 * domains)
    for step in range(60):
        if step > 20 and rng.random() < 0.4:
            change_world(world, rng)
        world.step(rng.choice((0.5, 1.5, 3.0)), rng)
    world.check()


@behave.then(
    "over random memberships, cuts, restarts and lags the extra sends stay "
    "within ratio and slack"
)
def check_extra_sends(context):
    del context

    @hold_for_all(strategies.integers(0, 2**32), examples=40)
    def check(seed):
        check_extra_sends_of(seed)

    check()


@behave.then(
    "over the memberships of seed {seed:d} the extra sends stay within ratio "
    "and slack"
)
def check_seed(context, seed):
    del context
    check_extra_sends_of(seed)


def get_shares(world, service):
    return {
        name: node.harness.core.context.slack.get(service, world.now)
        for name, node in world.nodes.items()
    }


def read_for(world, seconds):
    for _ in range(seconds):
        world.now += 1.0
        for node in world.nodes.values():
            node.read()


@behave.given(
    "{nodes:d} nodes in 3 failure domains that know 40 shards and a plain "
    "service, with a slack of {slack:d}"
)
def step_known(context, nodes, slack):
    context.world = StoreWorld(3, nodes, slack=slack)
    read_for(context.world, 1)
    for node in context.world.nodes.values():
        node.read()


@behave.then(
    "each node may spend {part:g} of {nodes:d} parts of {whose} slack"
)
def step_part(context, part, nodes, whose):
    service = "plain" if "plain" in whose else SHARDS[0]
    shares = get_shares(context.world, service)
    for name, share in shares.items():
        assert abs(share - part / nodes) < 1e-9, (name, share)


@behave.then(
    "one node of each domain may spend 0.8 of 3 parts more of a shard's slack"
)
def step_owner_part(context):
    for shard in SHARDS:
        shares = get_shares(context.world, shard)
        common = 0.2 / len(shares)
        owners = [
            context.world.nodes[name].entry.failure_domain
            for name, share in shares.items()
            if abs(share - common - 0.8 / 3) < 1e-9
        ]
        assert sorted(owners) == context.world.domains, shares
        assert sum(shares.values()) < 1 + 1e-9


@behave.then(
    "of {nodes:d} nodes with a slack of {slack:d} each may spend {least:g} to "
    "{most:g} of it alone"
)
def step_common_part(context, nodes, slack, least, most):
    del context
    part = SAFETY_FACTOR * slack * compute_common_share(nodes, slack) / nodes
    assert least <= part <= most, part


@behave.when("the nodes have been confirmed by the store for {seconds:d} s")
def step_confirmed(context, seconds):
    read_for(context.world, seconds)


@behave.when("a configuration names 40 other shards")
def step_new_set(context):
    for node in context.world.nodes.values():
        node.harness.configure(2, build_route("wide", shards=NEW_SHARDS))


@behave.when("a node joins, and a configuration names 40 other shards")
def step_join_and_new_set(context):
    context.world.start(len(context.world.nodes))
    read_for(context.world, 2)
    step_new_set(context)


@behave.then(
    "one node of each domain may spend 0.4 of 3 parts more of a new shard's "
    "slack"
)
def step_new_owner_part(context):
    for shard in NEW_SHARDS:
        shares = get_shares(context.world, shard)
        common = 0.2 / len(shares)
        owned = [
            share - common
            for share in shares.values()
            if share > common + 1e-9
        ]
        assert len(owned) == 3, shares
        assert all(abs(share - 0.4 / 3) < 1e-9 for share in owned), owned


@behave.then(
    "each old node of its domain may spend at most 1 of 36 parts of a new "
    "shard's slack"
)
def step_new_set_unsettled(context):
    domain = context.world.domains[0]
    for shard in NEW_SHARDS:
        for name, share in get_shares(context.world, shard).items():
            if context.world.nodes[name].entry.failure_domain == domain:
                assert share <= 1 / 36 + 1e-9, (name, share)


@behave.when("the store has been away for {seconds:d} s")
def step_away(context, seconds):
    context.world.now += seconds


@behave.then(
    "a node that was cut off while another one was the owner spends only "
    "after a window and 10 s"
)
def step_missed_owner(context):
    del context
    world = StoreWorld(1, 4)
    read_for(world, 25)
    common = 0.2 / 4
    shares = get_shares(world, SHARDS[0])
    owner = max(shares, key=shares.get)
    assert shares[owner] > 0.8
    world.nodes[owner].cut_until = world.now + 40
    for _ in range(39):
        read_for(world, 1)
        world.expire_leases()
    # The others have made one of them the owner; the first one knows nothing.
    assert sum(share > 0.8 for share in get_shares(world, SHARDS[0]).values())
    read_for(world, 19)
    assert get_shares(world, SHARDS[0])[owner] <= common + 1e-9
    read_for(world, 3)
    assert get_shares(world, SHARDS[0])[owner] > 0.8
