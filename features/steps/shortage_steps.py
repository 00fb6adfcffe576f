"""Steps about loads on a service that is short of room."""

import behave
from shortage_world import OBJECTIVE_S
from shortage_world import Sender
from shortage_world import share_served
from shortage_world import ShortageWorld
from shortage_world import START

MIN_GROUP_SIZE = 15


@behave.given("35 nodes that see 1 request a second each")
def step_calm(context):
    senders = [Sender(name="route", per_s=35)]
    context.fields = {"nodes": 35, "senders": senders, "by_account": False}


@behave.given(
    "20, 40 and 40 requests a second of ranks 0, 1 and 2 over {nodes:d} nodes"
)
def step_ranks(context, nodes):
    senders = [
        Sender(name=f"rank-{rank}", per_s=per_s, rank=rank)
        for rank, per_s in enumerate((20, 40, 40))
    ]
    context.fields = {"nodes": nodes, "senders": senders, "by_account": False}


@behave.when("the requests take {work_s:g} s on 12 slots for {seconds:d} s")
def step_run(context, work_s, seconds):
    context.world = ShortageWorld(work_s=work_s, **context.fields)
    context.world.run(seconds)
    context.measured = list_between(context.world, 5, seconds)


def list_between(world, from_s, to_s):
    """Return the outcomes of requests that arrived between two times."""
    return [
        outcome
        for outcome in world.outcomes
        if START + from_s <= outcome.arrived_s < START + to_s
    ]


@behave.given("86 accounts that send over {nodes:d} nodes and return")
def step_returning_accounts(context, nodes):
    context.fields = {"nodes": nodes, "callers_return": True}


@behave.given("86 accounts that send over {nodes:d} nodes")
def step_accounts(context, nodes):
    context.fields = {"nodes": nodes}


@behave.when("they send {factor:g} times as many from second 10 to 25")
def step_burst(context, factor):
    run_accounts(context, [factor] * 86)


@behave.when("the largest sends {factor:g} times as many from second 10 to 25")
def step_surge(context, factor):
    run_accounts(context, [factor] + [1.0] * 85)


def run_accounts(context, surges):
    """Send 24 requests a second; the largest of 86 accounts sends a third."""
    weights = [1 / (number + 1) for number in range(1, 86)]
    weights.insert(0, sum(weights) / 2)
    senders = [
        Sender(
            name=f"account-{number}",
            per_s=24 * weight / sum(weights),
            surge=surges[number],
        )
        for number, weight in enumerate(weights)
    ]
    context.world = ShortageWorld(
        work_s=0.2, senders=senders, **context.fields
    )
    context.world.run(35)
    context.measured = list_between(context.world, 10, 25)


@behave.then("no request waited or was refused")
def step_calm_day(context):
    assert not any(outcome.refusals_s for outcome in context.world.outcomes)
    assert not context.world.take_queue_counts()


@behave.then("at least {share:g} of the requests in the burst were served")
def step_served_share(context, share):
    served = share_served(context.measured)
    assert served >= share, served


@behave.then("refusals came within 50 ms as not run")
def step_early(context):
    refusals = [
        outcome
        for outcome in context.measured
        if outcome.refused and outcome.answer.kind.value != "timed out"
    ]
    assert refusals
    latest_s = max(max(outcome.refusals_s) for outcome in refusals)
    assert latest_s <= OBJECTIVE_S / 4 + 0.001, latest_s
    assert not any(outcome.answer.ran for outcome in refusals)


@behave.then("each account was served at least a quarter as often as all")
def step_each_account(context):
    shares = share_by(context, lambda one: one.sender.name)
    served = share_served(context.measured)
    assert min(shares.values()) >= served / 4, (shares, served)


def share_by(context, key):
    """Return the shares served by group; groups are not too small."""
    groups = {}
    for outcome in context.measured:
        groups.setdefault(key(outcome), []).append(outcome)
    return {
        name: share_served(group)
        for name, group in groups.items()
        if len(group) >= MIN_GROUP_SIZE
    }


@behave.then(
    "at least {share:g} of those from 2 s after the burst were served"
)
def step_recovered(context, share):
    served = share_served(list_between(context.world, 27, 35))
    assert served >= share, served


@behave.then(
    "the others were served at least {more:g} more often than the largest"
)
def step_others(context, more):
    shares = share_by(context, lambda one: one.sender.name == "account-0")
    assert shares[False] >= shares[True] + more, shares


@behave.then("at least {share:g} of rank {rank:d} were served")
def step_rank(context, share, rank):
    shares = share_by(context, lambda one: one.sender.rank)
    assert shares[rank] >= share, shares


@behave.then("each rank was served less often than the one above it")
def step_rank_order(context):
    shares = share_by(context, lambda one: one.sender.rank)
    assert shares[0] >= shares[1] >= shares[2], shares
