"""Steps about more queries than the replicas can serve."""

import collections

import behave
from routing_scene import arrive
from routing_scene import start_query

from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import MergedAnswer


@behave.given("a query route over 4 shards whose replicas serve one at a time")
def step_overloaded(context):
    start_query(context, 4)


@behave.when(
    "60 queries a second arrive for 20 s, half of what they need is there"
)
def step_overload(context):
    """Each replica takes 33 ms a request, one at a time, in order."""
    world = context.world
    free_at = collections.defaultdict(float)
    done_at = {}
    context.outcomes = []
    for tick in range(60 * 20):
        arrive(context)
        settle(world, free_at, done_at, world.now + 1 / 60)
        context.outcomes.append((tick / 60, context.exchange, world.now))
    settle(world, free_at, done_at, world.now + 2.0)


def settle(world, free_at, done_at, until):
    while True:
        for number in world.list_open():
            if number in done_at:
                continue
            arrival = world.arrivals[number]
            service = arrival.command.replica.service
            began_at = max(arrival.sent_at, free_at[service])
            free_at[service] = done_at[number] = began_at + 0.033
        pending = [
            (done_at[number], number)
            for number in world.list_open()
            if done_at[number] <= until
        ]
        if not pending:
            break
        at, number = min(pending)
        world.advance(max(0.0, at - world.now))
        if world.arrivals[number].cancelled:
            world.fail(number)
        else:
            world.reply(number)
    world.advance(max(0.0, until - world.now))


@behave.then("in the last 10 s at least {share:g} of the queries were in time")
def step_served_share(context, share):
    late = [item for item in context.outcomes if item[0] >= 10]
    answers = context.world.answers
    served = [
        exchange
        for _, exchange, _ in late
        if isinstance(answers.get(exchange), MergedAnswer)
        and context.world.answered_at[exchange]
        - context.world.arrived_at[exchange]
        <= 0.1
    ]
    assert len(served) >= share * len(late), (len(served), len(late))


@behave.then("no refused query was held or had run")
def step_refused_at_once(context):
    world = context.world
    refused = [
        exchange
        for exchange, answer in world.answers.items()
        if isinstance(answer, ErrorAnswer) and not answer.ran
    ]
    assert refused
    for exchange in refused:
        assert world.answered_at[exchange] == world.arrived_at[exchange]
        assert not world.list_sent(exchange)
