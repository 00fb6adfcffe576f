"""Steps about the selection of a replica."""

import random

import behave
from routing_harness import build_replica
from routing_harness import build_route
from routing_harness import DOMAIN

from bluebellbay.coordination.routing.selection import ReplicaSelector
from bluebellbay.protocol.router_rules import RouterRules
from bluebellbay.state.replica import ReplicaRecord
from bluebellbay.state.router import RouterState

SERVICE = "service"
BASE_LATENCY_S = 0.020
FIRST_REPLY_AT = 100.0
REPLY_COUNT = 20


@behave.given(
    "a local and a remote replica of a {kind} with an objective of 100 ms"
)
def step_replicas(context, kind):
    state = RouterState(
        rules=RouterRules(node="node", failure_domain=DOMAIN),
        rng=random.Random(1),
    )
    context.records = {}
    for name, domain in (("local", DOMAIN), ("remote", "zone-b")):
        entry = build_replica(name, SERVICE, failure_domain=domain)
        record = ReplicaRecord(entry=entry, added_at=0.0)
        state.replicas.add(record)
        context.records[name] = record
    context.selector = ReplicaSelector(state=state)
    fields = {"service": SERVICE}
    if kind == "shard":
        fields = {"shards": (SERVICE, "other")}
    context.route = build_route("route", objective_s=0.1, **fields)


@behave.when("the local replica is {slower:d} ms slower than the remote one")
def step_slower(context, slower):
    times_s = {
        "local": BASE_LATENCY_S + slower / 1000,
        "remote": BASE_LATENCY_S,
    }
    for number in range(REPLY_COUNT):
        at = FIRST_REPLY_AT + 0.01 * number
        for name, record in context.records.items():
            window = record.get_latency_window(context.route.name)
            window.add(times_s[name], at)
            context.selector.get_pooled(context.route.name).add(
                BASE_LATENCY_S, at
            )
    context.now = at


@behave.then("the {name} replica is chosen")
def step_chosen(context, name):
    for _ in range(REPLY_COUNT):
        chosen = context.selector.choose(
            SERVICE, context.route, (), context.now
        )
        assert chosen is context.records[name], chosen.entry.replica_id
