"""Property of quotas over histories of a fleet."""

import behave
import hypothesis
from hypothesis import strategies
from quota_world import find_most_runs
from quota_world import QuotaWorld

DURATION_S = 45.0
REQUESTS_PER_S = 50.0
KINDS = (
    "restart",
    "freeze",
    "cut from the store",
    "cut from peers",
    "cut from all",
    "sees members late",
    "join",
    "change the limit",
)

_troubles = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(KINDS),
        strategies.floats(0.0, 30.0),
        strategies.floats(0.1, 30.0),
        strategies.lists(
            strategies.integers(0, 7), min_size=1, max_size=4, unique=True
        ),
    ),
    max_size=6,
)


def apply_trouble(world, count, kind, seconds, numbers):
    names = [f"node-{number % count}" for number in numbers]
    if kind == "join":
        # The count of nodes may be wrong by a quarter.
        if len(world.nodes) < count + count // 5:
            world.start(len(world.nodes))
        return
    if kind == "change the limit":
        rate = world.rng.choice((2.0, 4.0, 8.0, 16.0))
        world.set_limit(rate, world.rng.choice((0, 10, 40)), spread_s=5.0)
        return
    for number, name in zip(numbers, names, strict=True):
        node = world.nodes[name]
        until = world.now + seconds
        if kind == "restart":
            world.start(number % count)
        elif kind == "freeze":
            world.freeze(name, seconds)
        elif kind == "sees members late":
            node.lag_s = min(seconds, 8.0)
        if kind in ("cut from the store", "cut from all"):
            node.store_cut_until = until
        if kind in ("cut from peers", "cut from all"):
            node.peers_cut_until = until


def play_history(*, seed, count, first_start, troubles, callers, limit):
    rate, burst = limit
    world = QuotaWorld(
        seed=seed,
        nodes=count,
        rate=rate,
        burst=burst,
        first_start=first_start,
    )
    for kind, at, seconds, numbers in troubles:
        world.at(
            at,
            lambda k=kind, s=seconds, n=numbers: apply_trouble(
                world, count, k, s, n
            ),
        )
    at = 0.0
    while at < DURATION_S:
        at += world.rng.expovariate(REQUESTS_PER_S)
        world.at(at, lambda: send(world, callers))
    world.play(DURATION_S)
    return world


def send(world, callers):
    names = list(world.nodes)[:callers]
    world.send_request(world.rng.choice(names))


def check_history(world):
    runs = sorted(world.runs)
    for index, at in enumerate(runs):
        limit = world.find_limit(at)
        first = index - int(limit)
        if first >= 0 and at - runs[first] < 5.0:
            raise AssertionError(
                f"more than {limit} requests ran in 5 s before {at:.2f} s: "
                f"{find_most_runs(runs)}"
            )


@behave.then(
    "{examples:d} histories run at most A requests of an account in any 5 s"
)
def check_property(context, examples):
    del context

    @hypothesis.settings(
        derandomize=True, max_examples=examples, deadline=None, database=None
    )
    @hypothesis.given(
        seed=strategies.integers(0, 2**32),
        count=strategies.integers(3, 8),
        first_start=strategies.booleans(),
        troubles=_troubles,
        callers=strategies.sampled_from((1, 4, 10)),
        # Of the smallest, all is lent by a fleet of 8 nodes.
        limit=strategies.sampled_from(((8.0, 20), (4.0, 10), (2.0, 0))),
    )
    # Frozen lenders that come back after others have taken their place.
    @hypothesis.example(
        seed=9729,
        count=8,
        first_start=True,
        troubles=[
            ("freeze", 3.46, 27.53, [1, 7, 2]),
            ("restart", 1.54, 0.33, [3]),
            ("cut from the store", 0.08, 27.97, [7]),
            ("cut from peers", 0.5, 29.06, [1, 2, 6]),
        ],
        callers=10,
        limit=(8.0, 20),
    )
    # All nodes restart, and know nothing of what they have spent.
    @hypothesis.example(
        seed=1,
        count=4,
        first_start=True,
        troubles=[("restart", 20.0, 1.0, [0, 1, 2, 3])],
        callers=10,
        limit=(8.0, 20),
    )
    def check(**history):
        check_history(play_history(**history))

    check()


@behave.then(
    "{count:d} nodes without trouble run more than half of A in each "
    "{step:g} s"
)
def check_use(context, count, step):
    del context
    world = play_history(
        seed=1,
        count=count,
        first_start=True,
        troubles=(),
        callers=10,
        limit=(8.0, 20),
    )
    check_history(world)
    for number in range(int(DURATION_S / step)):
        start = number * step
        ran = sum(start <= at < start + step for at in world.runs)
        assert ran > world.limits[1] / 2, (start, ran, world.limits)
