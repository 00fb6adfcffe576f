"""Steps about when shards are hedged early."""

import behave

from bluebellbay.coordination.routing.objective import AnswerTiming

QUERIES = 20
ROUTE = "wide"


@behave.given(
    "20 queries a second of which {pending:d} in 20 were due with shards "
    "pending"
)
def record_queries(context, pending):
    context.timing = AnswerTiming()
    context.now = 100.0
    for number in range(QUERIES):
        context.now += 1 / QUERIES
        context.timing.record_completeness(
            ROUTE,
            pending=number * pending // QUERIES
            != (number + 1) * pending // QUERIES,
            now=context.now,
        )


@behave.when("{seconds:d} s pass without a query")
def advance(context, seconds):
    context.now += seconds


@behave.then("shards are hedged early: {expected}")
def check_early(context, expected):
    early = context.timing.is_often_incomplete(ROUTE, context.now)
    assert early == (expected == "yes")


@behave.then("shards of another route are hedged early: {expected}")
def check_other_route(context, expected):
    early = context.timing.is_often_incomplete("other", context.now)
    assert early == (expected == "yes")
