"""Steps about choosing a replica."""

import random

import behave
from routing_world import build_replica
from routing_world import build_route
from routing_world import DOMAIN

from bluebellbay.coordination.routing.selection import ReplicaSelector
from bluebellbay.protocol.router_rules import RouterRules
from bluebellbay.state.replica import ReplicaRecord
from bluebellbay.state.router import RouterState

SERVICE = "service"
USUAL_S = 0.020
NOW = 100.0
REPLIES = 20


@behave.given(
    "a near and a far replica of a {kind} with an objective of 100 ms"
)
def step_replicas(context, kind):
    state = RouterState(
        rules=RouterRules(node="node", failure_domain=DOMAIN),
        rng=random.Random(1),
    )
    context.records = {}
    for name, domain in (("near", DOMAIN), ("far", "zone-b")):
        entry = build_replica(name, SERVICE, failure_domain=domain)
        record = ReplicaRecord(entry=entry, added_at=0.0)
        state.replicas.add(record)
        context.records[name] = record
    context.selector = ReplicaSelector(state=state)
    fields = {"service": SERVICE}
    if kind == "shard":
        fields = {"shards": (SERVICE, "other")}
    context.route = build_route("route", objective_s=0.1, **fields)


@behave.when("the near one answers {slower:d} ms later than the far one")
def step_slower(context, slower):
    times_s = {"near": USUAL_S + slower / 1000, "far": USUAL_S}
    for number in range(REPLIES):
        at = NOW + 0.01 * number
        for name, record in context.records.items():
            window = record.get_latency_window(context.route.name)
            window.add(times_s[name], at)
            context.selector.find_pooled(context.route.name).add(USUAL_S, at)
    context.now = at


@behave.then("the {name} one is chosen")
def step_chosen(context, name):
    for _ in range(REPLIES):
        chosen = context.selector.choose(
            SERVICE, context.route, (), context.now
        )
        assert chosen is context.records[name], chosen.entry.replica_id
