"""Steps about queries over shards under load, by former rules and by new."""

import contextlib
from unittest import mock

import behave
from wide_load import Load
from wide_load import WideWorld

from bluebellbay.coordination.routing import context as routing_context
from bluebellbay.coordination.routing.objective import AnswerTiming
from bluebellbay.coordination.routing.slack_share import SlackShares
from bluebellbay.state.lateness import LatenessWindow

LOAD_S = 36
# A part of the slack is for nodes whose role has lasted for 20 s.
SETTLED_S = 22
OBJECTIVE_S = 0.15


def divide_slack_by_nodes(shares, service, now):
    del service, now
    return 1 / shares._state.nodes


FORMER = {
    "former hedging": mock.patch.object(
        routing_context,
        "compute_shard_hedge_delay",
        lambda pooled, *, usual_s, **fields: usual_s,
    ),
    "former slack": mock.patch.object(
        SlackShares, "get", divide_slack_by_nodes
    ),
    "former lateness": mock.patch.object(
        LatenessWindow, "estimate", lambda window, now: 0.0
    ),
}


@behave.given(
    "{nodes:d} nodes with timers up to {late:d} ms late, and {shards:d} "
    "shards of {copies:d} replicas"
)
def step_fleet(context, nodes, late, shards, copies):
    context.fields = {
        "nodes": nodes,
        "late_s": late / 1000,
        "shards": shards,
        "copies": copies,
        "domains": min(3, copies),
        "attempts": copies,
        "slack": 188.0 if nodes > 4 else 58.0,
        "per_s": 8.0,
    }


@behave.given(
    "{queries:d} queries a second over shards that usually take {usual:d} ms"
)
def step_rate(context, queries, usual):
    context.fields["per_s"] = float(queries)
    context.fields["median_s"] = usual / 1000


@behave.when(
    "queries with an objective of {objective:d} ms are played by these rules"
)
def step_play(context, objective):
    load = Load(objective_s=objective / 1000, **context.fields)
    context.scores = {}
    for row in context.table:
        rules = row["rules"]
        patches = FORMER if rules == "former" else {rules} & set(FORMER)
        with contextlib.ExitStack() as stack:
            for name in patches:
                stack.enter_context(FORMER[name])
            world = WideWorld(load)
            world.run(LOAD_S)
        context.scores[rules] = world.score(since_s=SETTLED_S)
        print(rules, context.scores[rules])


@behave.then(
    "by the new rules at least {in_time:g} are in time and earn {value:g}"
)
def step_in_time(context, in_time, value):
    score = context.scores["new"]
    assert score["in time"] >= in_time, score
    assert score["value"] >= value, score


@behave.then('the new rules earn {more:g} more than "{rules}"')
def step_earn_more(context, more, rules):
    new, former = context.scores["new"], context.scores[rules]
    assert new["value"] >= former["value"] + more, (new, former)


@behave.then(
    'the new rules send at most {more:g} more extra attempts than "{rules}"'
)
def step_send_more(context, more, rules):
    new, former = context.scores["new"], context.scores[rules]
    assert new["extra"] <= former["extra"] + more, (new, former)


@behave.given(
    "answers of peers and timers that were {late:d} ms late {times:d} times"
)
def step_late(context, late, times):
    context.timing = AnswerTiming()
    context.now = 100.0
    for _ in range(times):
        context.timing.record_objective(late / 1000, context.now)
        context.timing.record_peer(late / 1000, context.now)


@behave.when("{seconds:d} s have passed")
def step_passed(context, seconds):
    context.now += seconds


@behave.then(
    "a query is due {own:g} ms before its objective, and its peers {peers:g} "
    "ms before"
)
def step_due(context, own, peers):
    delay_s = context.timing.compute_answer_delay(OBJECTIVE_S, context.now)
    peer_delay_s = context.timing.compute_peer_delay(1, 0.12, context.now)
    assert abs(delay_s - own / 1000) < 1e-9, delay_s
    assert abs(peer_delay_s - peers / 1000) < 1e-9, peer_delay_s
