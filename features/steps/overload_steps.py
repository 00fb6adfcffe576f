"""Steps about queries above the capacity of the replicas."""

import collections

import behave
from routing_helpers import send_request
from routing_helpers import start_query

from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import MergedAnswer


@behave.given(
    "a query route over 4 shards whose replicas serve one request at a time"
)
def step_serial_replicas(context):
    start_query(context, 4)


@behave.when(
    "60 queries a second arrive for 20 s, twice what the replicas can serve"
)
def step_overload(context):
    """Send 60 queries a second; each replica serves one in 33 ms, in order."""
    harness = context.harness
    free_at = collections.defaultdict(float)
    done_at = {}
    context.outcomes = []
    for arrival_index in range(60 * 20):
        send_request(context)
        run_replicas(harness, free_at, done_at, harness.now + 1 / 60)
        context.outcomes.append(
            (arrival_index / 60, context.exchange, harness.now)
        )
    run_replicas(harness, free_at, done_at, harness.now + 2.0)


def run_replicas(harness, free_at, done_at, until):
    while True:
        for number in harness.list_open_attempts():
            if number in done_at:
                continue
            attempt = harness.attempts[number]
            service = attempt.command.replica.service
            begins_at = max(attempt.sent_at, free_at[service])
            free_at[service] = done_at[number] = begins_at + 0.033
        pending = [
            (done_at[number], number)
            for number in harness.list_open_attempts()
            if done_at[number] <= until
        ]
        if not pending:
            break
        at, number = min(pending)
        harness.advance(max(0.0, at - harness.now))
        if harness.attempts[number].cancelled:
            harness.fail(number)
        else:
            harness.reply(number)
    harness.advance(max(0.0, until - harness.now))


@behave.then(
    "in the last 10 s at least {share:g} of the queries were answered in time"
)
def step_served_share(context, share):
    measured = [item for item in context.outcomes if item[0] >= 10]
    answers = context.harness.answers
    served = [
        exchange
        for _, exchange, _ in measured
        if isinstance(answers.get(exchange), MergedAnswer)
        and context.harness.answered_at[exchange]
        - context.harness.arrived_at[exchange]
        <= 0.1
    ]
    assert len(served) >= share * len(measured), (len(served), len(measured))


@behave.then("each refused query was refused at once and not sent")
def step_refused_at_once(context):
    harness = context.harness
    refused = [
        exchange
        for exchange, answer in harness.answers.items()
        if isinstance(answer, ErrorAnswer) and not answer.ran
    ]
    assert refused
    for exchange in refused:
        assert harness.answered_at[exchange] == harness.arrived_at[exchange]
        assert not harness.list_sent_attempts(exchange)
