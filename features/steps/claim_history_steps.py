"""Steps that check claims over simulated histories of several nodes."""

import collections

import behave
from claim_world import ClaimWorld
from claim_world import Fault
from claim_world import FAULT_KINDS
from claim_world import History
from claim_world import LEG_BEHAVIOURS
from claim_world import NODE_COUNT
from claim_world import STORE_BEHAVIOURS
from claim_world import Submission
import hypothesis
from hypothesis import strategies

from bluebellbay.protocol.error import Outcome

SKEW_S = 1.0
LONG_RETENTION_S = 120.0
LAST_ARRIVAL_S = 20.0
HISTORY_S = 60.0
EXAMPLES = 400

NODE_NUMBERS = strategies.integers(0, NODE_COUNT - 1)
START_TIMES = strategies.integers(0, 80).map(lambda tick: tick / 4)
CLOCK_OFFSETS = strategies.lists(
    strategies.sampled_from((-SKEW_S / 2, SKEW_S / 2)),
    min_size=NODE_COUNT,
    max_size=NODE_COUNT,
).map(tuple)
KILLS = strategies.lists(
    strategies.tuples(
        NODE_NUMBERS, strategies.integers(1, 12), strategies.integers(0, 2)
    ),
    max_size=3,
).map(tuple)


def build_behaviours(kinds):
    # Over half of the entries are successes, as a history of nothing but
    # faults proves little.
    weighted = (*("ok",) * len(kinds), *kinds)
    behaviours = strategies.lists(
        strategies.sampled_from(weighted), min_size=1, max_size=12
    )
    return behaviours.map(tuple)


def build_faults():
    fault = strategies.builds(
        Fault,
        kind=strategies.sampled_from(FAULT_KINDS),
        node=NODE_NUMBERS,
        at=START_TIMES,
        seconds=strategies.sampled_from((0.3, 1.5, 6.0, 15.0)),
    )
    return strategies.lists(fault, max_size=4).map(tuple)


def build_histories(submissions):
    return strategies.builds(
        History,
        submissions=strategies.lists(submissions, min_size=4, max_size=12).map(
            tuple
        ),
        faults=build_faults(),
        store_behaviours=build_behaviours(STORE_BEHAVIOURS),
        leg_behaviours=build_behaviours(LEG_BEHAVIOURS),
        kills=KILLS,
        clock_offsets_s=CLOCK_OFFSETS,
    )


def build_submission(node, at, request_id, lifetime_s):
    return Submission(
        node=node, at=at, request_id=request_id, expires_at=at + lifetime_s
    )


# Repeated attempts at the same requests, each with an expiry of its own.
RENEWED_SUBMISSIONS = strategies.builds(
    build_submission,
    node=NODE_NUMBERS,
    at=START_TIMES,
    request_id=strategies.sampled_from(("posting-1", "posting-2")),
    lifetime_s=strategies.sampled_from((0.6, 2.0, 10.0)),
)
EXPIRY_S = 8.0
TIMES_NEAR_EXPIRY = strategies.integers(-10, 10).map(
    lambda tick: EXPIRY_S + tick / 8
)
# All attempts at posting-1 share one expiry; the other requests make nodes
# write the bucket, which removes expired claims.
FIXED_SUBMISSIONS = strategies.builds(
    Submission,
    node=NODE_NUMBERS,
    at=TIMES_NEAR_EXPIRY,
    request_id=strategies.just("posting-1"),
    expires_at=strategies.just(EXPIRY_S),
) | strategies.builds(
    lambda node, at: Submission(
        node=node, at=at, request_id=f"filler-{node}-{at}", expires_at=at + 5
    ),
    node=NODE_NUMBERS,
    at=TIMES_NEAR_EXPIRY,
)


def check_histories(posts, retention_s):
    """Check random histories and count the behaviours and outcomes met."""
    tally = collections.Counter()

    # Hypothesis derives its seed from the source of ``check`` with its
    # decorators: changing a name in it changes the histories that are drawn.

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
    "in random histories no request runs twice while its claim is retained"
)
def check_retained_claims(context):
    context.claim_tally = check_histories(
        RENEWED_SUBMISSIONS, LONG_RETENTION_S
    )


@behave.then(
    "in random histories no request runs twice though claims are collected"
)
def check_collected_claims(context):
    context.claim_tally = check_histories(FIXED_SUBMISSIONS, 0.0)


def list_submissions(request_id="posting-1"):
    """List four rounds of attempts, each at all nodes at once."""
    return tuple(
        Submission(node=node, at=at, request_id=request_id, expires_at=12.0)
        for at in (0.0, 1.5, 4.0, 9.0)
        for node in range(NODE_COUNT)
    )


def run_submissions(**fields):
    history = History(submissions=list_submissions(), **fields)
    world = ClaimWorld(history, clock_skew_s=SKEW_S)
    world.run(HISTORY_S).check()
    return world


@behave.then(
    "a request sent to four nodes at once runs once and all get its outcome"
)
def check_concurrent_nodes(context):
    world = run_submissions()
    assert len(world.runs["posting-1"]) == 1, world.runs
    outcomes = [world.answers[number].outcome for number in range(16)]
    assert outcomes[:4].count(Outcome.ANSWERED) == 1, outcomes
    assert outcomes[:4].count(Outcome.UNKNOWN) == 3, outcomes
    # Once the outcome is recorded, every attempt is told it.
    assert set(outcomes[4:]) == {Outcome.ANSWERED}, outcomes


@behave.then("a node killed at any of its first events leaves at most one run")
def check_kills(context):
    kills = [
        (node, event, commands)
        for node in range(NODE_COUNT)
        for event in range(1, 8)
        for commands in range(3)
    ]
    worlds = [run_submissions(kills=(kill,)) for kill in kills]
    assert sum("killed" in world.seen for world in worlds) > len(kills) / 2
    ran = sum(len(world.runs.get("posting-1", ())) for world in worlds)
    # Only a kill between the claim and the send leaves no run.
    assert len(worlds) * 0.8 < ran < len(worlds), ran


@behave.then("a fault of any single call to the store leaves exactly one run")
def check_losses(context):
    for behaviour in STORE_BEHAVIOURS:
        for position in range(16):
            behaviours = ("ok",) * position + (behaviour,) + ("ok",) * 40
            world = run_submissions(store_behaviours=behaviours)
            assert len(world.runs["posting-1"]) == 1, (behaviour, position)


@behave.then(
    "an outage that starts {at:g} s after the first attempt leaves one run"
)
def check_outage(context, at):
    fault = Fault(kind="store-down", node=0, at=at, seconds=3.0)
    world = run_submissions(faults=(fault,))
    assert len(world.runs["posting-1"]) == 1, world.runs


@behave.then("a node that is resumed after the expiry sends nothing")
def check_thaw(context):
    first = Submission(node=0, at=0.1, request_id="posting-1", expires_at=2.0)
    later = Submission(node=1, at=1.0, request_id="posting-1", expires_at=2.0)
    unsent = 0
    for ticks in range(1, 20):
        at = first.at + ticks / 1000
        freeze = Fault(kind="freeze", node=0, at=at, seconds=10.0)
        history = History(submissions=(first, later), faults=(freeze,))
        world = ClaimWorld(history, clock_skew_s=SKEW_S)
        world.run(HISTORY_S).check()
        unsent += not world.runs
    assert 0 < unsent < 19, unsent


@behave.then("the histories covered every fault and every outcome")
def check_fault_coverage(context):
    tally = context.claim_tally
    expected_kinds = {f"store {behaviour}" for behaviour in STORE_BEHAVIOURS}
    expected_kinds |= {f"leg {behaviour}" for behaviour in LEG_BEHAVIOURS}
    expected_kinds |= {"killed", "ran"}
    expected_kinds |= {Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.UNKNOWN}
    missing = expected_kinds - set(tally)
    assert not missing, missing
    assert tally["ran"] >= EXAMPLES / 2, tally
