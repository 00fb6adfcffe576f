"""Steps that run whole histories of postings over several nodes."""

import collections

import behave
from claim_world import ClaimWorld
from claim_world import Fault
from claim_world import FAULTS
from claim_world import History
from claim_world import LEG_FATES
from claim_world import NODES
from claim_world import Post
from claim_world import STORE_FATES
import hypothesis
from hypothesis import strategies

from bluebellbay.protocol.error import Outcome

SKEW_S = 1.0
LONG_RETENTION_S = 120.0
LAST_ARRIVAL_S = 20.0
HISTORY_S = 60.0
EXAMPLES = 400

NODE_NUMBERS = strategies.integers(0, NODES - 1)
TIMES = strategies.integers(0, 80).map(lambda tick: tick / 4)
OFFSETS = strategies.lists(
    strategies.sampled_from((-SKEW_S / 2, SKEW_S / 2)),
    min_size=NODES,
    max_size=NODES,
).map(tuple)
KILLS = strategies.lists(
    strategies.tuples(
        NODE_NUMBERS, strategies.integers(1, 12), strategies.integers(0, 2)
    ),
    max_size=3,
).map(tuple)


def draw_fates(names):
    # Most calls go well, as a history of nothing but faults proves little.
    often = (*("ok",) * len(names), *names)
    fates = strategies.lists(
        strategies.sampled_from(often), min_size=1, max_size=12
    )
    return fates.map(tuple)


def draw_faults():
    fault = strategies.builds(
        Fault,
        kind=strategies.sampled_from(FAULTS),
        node=NODE_NUMBERS,
        at=TIMES,
        seconds=strategies.sampled_from((0.3, 1.5, 6.0, 15.0)),
    )
    return strategies.lists(fault, max_size=4).map(tuple)


def build_histories(posts):
    return strategies.builds(
        History,
        posts=strategies.lists(posts, min_size=4, max_size=12).map(tuple),
        faults=draw_faults(),
        store_fates=draw_fates(STORE_FATES),
        leg_fates=draw_fates(LEG_FATES),
        kills=KILLS,
        offsets=OFFSETS,
    )


def build_post(node, at, request, life):
    return Post(node=node, at=at, request=request, expires_at=at + life)


# The same request again and again, each time with an expiry of its own.
RENEWED_POSTS = strategies.builds(
    build_post,
    node=NODE_NUMBERS,
    at=TIMES,
    request=strategies.sampled_from(("posting-1", "posting-2")),
    life=strategies.sampled_from((0.6, 2.0, 10.0)),
)
EXPIRY_S = 8.0
NEAR_EXPIRY = strategies.integers(-10, 10).map(
    lambda tick: EXPIRY_S + tick / 8
)
# The expiry belongs to the request; the fillers make nodes collect claims.
FIXED_POSTS = strategies.builds(
    Post,
    node=NODE_NUMBERS,
    at=NEAR_EXPIRY,
    request=strategies.just("posting-1"),
    expires_at=strategies.just(EXPIRY_S),
) | strategies.builds(
    lambda node, at: Post(
        node=node, at=at, request=f"filler-{node}-{at}", expires_at=at + 5
    ),
    node=NODE_NUMBERS,
    at=NEAR_EXPIRY,
)


def check_histories(posts, retention_s):
    """Run many histories, and say what they came to."""
    tally = collections.Counter()

    @hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=EXAMPLES,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(build_histories(posts))
    def check(history):
        world = ClaimWorld(
            history, clock_skew_s=SKEW_S, claim_retention_s=retention_s
        )
        world.run(HISTORY_S).check()
        tally.update(world.seen)
        tally["ran"] += len(world.runs)
        tally.update(answer.outcome for answer in world.answers.values())

    check()
    return tally


@behave.then(
    "over random histories no request runs twice while its claim is kept"
)
def check_renewed(context):
    context.claim_tally = check_histories(RENEWED_POSTS, LONG_RETENTION_S)


@behave.then(
    "over random histories no request runs twice though claims are collected"
)
def check_fixed(context):
    context.claim_tally = check_histories(FIXED_POSTS, 0.0)


def list_retries(request="posting-1"):
    """Attempts at four nodes at once, and again and again after it."""
    return tuple(
        Post(node=node, at=at, request=request, expires_at=12.0)
        for at in (0.0, 1.5, 4.0, 9.0)
        for node in range(NODES)
    )


def run_retries(**fields):
    history = History(posts=list_retries(), **fields)
    world = ClaimWorld(history, clock_skew_s=SKEW_S)
    world.run(HISTORY_S).check()
    return world


@behave.then("a request sent to four nodes at once runs once, and all agree")
def check_four(context):
    world = run_retries()
    assert len(world.runs["posting-1"]) == 1, world.runs
    outcomes = [world.answers[number].outcome for number in range(16)]
    assert outcomes[:4].count(Outcome.ANSWERED) == 1, outcomes
    assert outcomes[:4].count(Outcome.UNKNOWN) == 3, outcomes
    # Once it is recorded, everyone is told the one outcome.
    assert set(outcomes[4:]) == {Outcome.ANSWERED}, outcomes


@behave.then("a node killed at each of its steps leaves at most one run")
def check_kills(context):
    kills = [
        (node, event, commands)
        for node in range(NODES)
        for event in range(1, 8)
        for commands in range(3)
    ]
    worlds = [run_retries(kills=(kill,)) for kill in kills]
    assert sum("killed" in world.seen for world in worlds) > len(kills) / 2
    ran = sum(len(world.runs.get("posting-1", ())) for world in worlds)
    # A kill between the claim and the send leaves none, and that is all.
    assert len(worlds) * 0.8 < ran < len(worlds), ran


@behave.then("each answer that the store loses leaves at most one run")
def check_losses(context):
    for fate in STORE_FATES:
        for place in range(16):
            fates = ("ok",) * place + (fate,) + ("ok",) * 40
            world = run_retries(store_fates=fates)
            assert len(world.runs["posting-1"]) == 1, (fate, place)


@behave.then("an outage {at:g} seconds from the first attempt leaves one run")
def check_outage(context, at):
    fault = Fault(kind="store-down", node=0, at=at, seconds=3.0)
    world = run_retries(faults=(fault,))
    assert len(world.runs["posting-1"]) == 1, world.runs


@behave.then("a node that thaws after the expiry sends nothing")
def check_thaw(context):
    first = Post(node=0, at=0.1, request="posting-1", expires_at=2.0)
    later = Post(node=1, at=1.0, request="posting-1", expires_at=2.0)
    unsent = 0
    for ticks in range(1, 20):
        at = first.at + ticks / 1000
        freeze = Fault(kind="freeze", node=0, at=at, seconds=10.0)
        history = History(posts=(first, later), faults=(freeze,))
        world = ClaimWorld(history, clock_skew_s=SKEW_S)
        world.run(HISTORY_S).check()
        unsent += not world.runs
    assert 0 < unsent < 19, unsent


@behave.then("the histories met every fault and every outcome")
def check_met(context):
    tally = context.claim_tally
    wanted = {f"store {fate}" for fate in STORE_FATES}
    wanted |= {f"leg {fate}" for fate in LEG_FATES}
    wanted |= {"killed", "ran"}
    wanted |= {Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.UNKNOWN}
    missing = wanted - set(tally)
    assert not missing, missing
    assert tally["ran"] >= EXAMPLES / 2, tally
