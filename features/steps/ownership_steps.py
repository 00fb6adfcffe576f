"""Steps about wide queries that are divided among nodes."""

import collections

import behave
from routing_harness import build_configuration
from routing_harness import build_replica
from routing_harness import build_route
from routing_harness import DOMAIN
from routing_harness import RoutingHarness

from bluebellbay.protocol.delegation import CancelDelegation
from bluebellbay.protocol.delegation import CheckDelegation
from bluebellbay.protocol.delegation import DelegationAnswered
from bluebellbay.protocol.delegation import DelegationUnacknowledged
from bluebellbay.protocol.delegation import PeerProbed
from bluebellbay.protocol.delegation import ProbePeer
from bluebellbay.protocol.exchange import AttemptFailed
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeAbandoned
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import RoutingErrorKind
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.registry import ConfigurationReceived
from bluebellbay.protocol.registry import NodesListed
from bluebellbay.protocol.registry import SetConnectionLimit

ROUTE = "route"
OTHER_DOMAINS = ("zone-b", "zone-c")
EXCHANGE = 1


def list_nodes(count):
    domains = (DOMAIN, *OTHER_DOMAINS)
    return [
        NodeEntry(
            name=f"node-{number}",
            address=f"10.0.0.{number}:7000",
            failure_domain=domains[number % len(domains)],
        )
        for number in range(count)
    ]


def build_harness(context, name):
    harness = RoutingHarness(node=name)
    route = build_route(ROUTE, shards=context.shards, objective_s=0.1)
    harness.feed(NodesListed(nodes=tuple(context.nodes)))
    harness.feed(
        ConfigurationReceived(
            configuration=build_configuration(
                5, route, connections=context.accepted
            )
        )
    )
    harness.add_replicas(*context.replicas)
    return harness


@behave.given(
    "a fleet of {nodes:d} nodes in 3 failure domains and {shards:d} shards"
)
def step_fleet(context, nodes, shards):
    context.nodes = list_nodes(nodes)
    context.shards = [f"shard-{number}" for number in range(shards)]
    context.replicas = [
        build_replica(f"r-{shard}", shard) for shard in context.shards
    ]
    context.accepted = 67
    context.local_nodes = [
        node.name for node in context.nodes if node.failure_domain == DOMAIN
    ]
    context.harness = build_harness(context, context.local_nodes[0])
    context.exchange = 0
    context.probes = 1


@behave.given("the replicas of each shard are in one of the other domains")
def step_remote_replicas(context):
    context.replicas = [
        build_replica(
            f"r-{shard}", shard, failure_domain=OTHER_DOMAINS[number % 2]
        )
        for number, shard in enumerate(context.shards)
    ]


@behave.given("each shard has a replica in two of the domains")
def step_replicas_in_two(context):
    domains = (DOMAIN, *OTHER_DOMAINS)
    context.replicas = [
        build_replica(
            f"r-{shard}-{copy}",
            shard,
            failure_domain=domains[(number + copy) % len(domains)],
        )
        for number, shard in enumerate(context.shards)
        for copy in range(2)
    ]


@behave.then("each shard is queried by a node of the domain that holds it")
def step_queried_where_held(context):
    domains = {node.name: node.failure_domain for node in context.nodes}
    held = {item.service: item.failure_domain for item in context.replicas}
    for name, harness in context.harnesses.items():
        assignments = read_assignments(harness, name)
        queried = [
            shard for assigned in assignments.values() for shard in assigned
        ]
        assert sorted(queried) == sorted(context.shards), name
        for peer, assigned in assignments.items():
            assert {held[shard] for shard in assigned} == {domains[peer]}


@behave.when("a query arrives at each node of a domain")
def step_query_each(context):
    context.harnesses = {}
    for name in context.local_nodes[:5]:
        harness = build_harness(context, name)
        harness.open_exchange(EXCHANGE, ROUTE)
        context.harnesses[name] = harness


def read_assignments(harness, name, exchange=EXCHANGE):
    assignments = {
        command.peer.name: command.terms.shards
        for command in harness.delegations.values()
        if command.request.request_id == f"request-{exchange}"
    }
    direct_shards = [
        item.replica.service for item in harness.list_sent_attempts(exchange)
    ]
    if direct_shards:
        assignments[name] = tuple(direct_shards)
    return assignments


@behave.then("each query's shards are divided, each queried exactly once")
def step_divided(context):
    for name, harness in context.harnesses.items():
        assignments = read_assignments(harness, name)
        queried = [
            shard for assigned in assignments.values() for shard in assigned
        ]
        assert sorted(queried) == sorted(context.shards), name
        assert len(assignments) == len(context.local_nodes), assignments


@behave.then("all nodes of the domain agree on the owner of a shard")
def step_same_owner(context):
    owners = collections.defaultdict(set)
    for name, harness in context.harnesses.items():
        for owner, shards in read_assignments(harness, name).items():
            for shard in shards:
                owners[shard].add(owner)
    assert all(len(found) == 1 for found in owners.values()), owners


@behave.then("no shard is delegated")
def step_nothing_delegated(context):
    for harness in context.harnesses.values():
        assert not harness.delegations


@behave.then("each query is divided among at most {limit:d} nodes")
def step_max_owners(context, limit):
    for name, harness in context.harnesses.items():
        assignments = read_assignments(harness, name)
        assert 0 < len(assignments) <= limit, assignments
        # With fewer than 8 shards a node, a call costs more than it saves.
        assert len(context.shards) / len(assignments) >= 8, assignments


def send_request(context):
    context.exchange += 1
    context.harness.open_exchange(context.exchange, ROUTE)
    return read_assignments(
        context.harness, context.local_nodes[0], context.exchange
    )


def find_first_delegation(context):
    number, command = next(iter(context.harness.delegations.items()))
    context.peer = command.peer.name
    return number


@behave.when("a query arrives, and its first peer fails")
def step_first_peer_fails(context):
    context.before = send_request(context)
    number = find_first_delegation(context)
    context.harness.feed(
        AttemptFailed(attempt=number, sent=True, reason="reset")
    )


@behave.when("a query arrives, and its first peer refuses it")
def step_first_peer_refuses(context):
    context.before = send_request(context)
    number = find_first_delegation(context)
    answer = ErrorAnswer(exchange=0, kind=RoutingErrorKind.REFUSED, ran=False)
    context.harness.feed(DelegationAnswered(attempt=number, answer=answer))


def answer_delegations(context, exchange):
    harness = context.harness
    for number, command in tuple(harness.delegations.items()):
        if command.request.request_id == f"request-{exchange}":
            answer = MergedAnswer(
                exchange=0,
                records=b"",
                digests=command.terms.shards,
                missing=0,
            )
            harness.feed(DelegationAnswered(attempt=number, answer=answer))


def abandon_request(context, exchange):
    harness = context.harness
    harness.feed(ExchangeAbandoned(exchange=exchange))
    cancelled = [
        command.attempt
        for command in harness.commands
        if isinstance(command, CancelDelegation)
    ]
    for number in cancelled:
        harness.feed(AttemptFailed(attempt=number, sent=True, reason="closed"))


@behave.when("a query arrives, and its caller leaves after {wait_s:g} s")
def step_caller_leaves(context, wait_s):
    context.before = send_request(context)
    find_first_delegation(context)
    context.harness.advance(wait_s)
    abandon_request(context, context.exchange)


@behave.when(
    "a query arrives, and its caller leaves after {wait_s:g} s, when its "
    "peers have answered another"
)
def step_caller_leaves_busy_peers(context, wait_s):
    context.before = send_request(context)
    find_first_delegation(context)
    first = context.exchange
    send_request(context)
    context.harness.advance(wait_s / 2)
    answer_delegations(context, context.exchange)
    context.harness.advance(wait_s / 2)
    abandon_request(context, first)


@behave.when("another query arrives")
def step_another_query(context):
    context.after = send_request(context)


@behave.when("1.5 s later another query arrives")
def step_later_query(context):
    context.harness.advance(1.5)
    step_another_query(context)


@behave.then("only the shards of that peer have moved")
def step_moved(context):
    lost = set(context.before[context.peer])
    assert context.peer not in context.after
    for name, shards in context.before.items():
        if name != context.peer:
            assert set(shards) == set(context.after[name]) - lost, name


@behave.then("that peer was probed at once")
def step_probed(context):
    context.harness.advance(0.001)
    assert context.peer in list_probed(context)


def list_probed(context):
    return {
        command.peer.name
        for command in context.harness.commands
        if isinstance(command, ProbePeer)
    }


@behave.when("that peer answers its probe")
def step_answers_probe(context):
    context.harness.feed(PeerProbed(name=context.peer, answered=True))


@behave.then("that peer gets the same shards again")
def step_delegated_again(context):
    assert context.after == context.before


@behave.then("nothing is delegated to that peer")
def step_not_delegated(context):
    assert context.peer not in context.after
    queried = [
        shard for assigned in context.after.values() for shard in assigned
    ]
    assert sorted(queried) == sorted(context.shards)


@behave.then("the node queries its shards directly")
def step_queried_directly(context):
    direct_shards = {
        item.replica.service
        for item in context.harness.list_sent_attempts(context.exchange)
    }
    assert set(context.before[context.peer]) <= direct_shards


@behave.when(
    "a query arrives, and its first peer has not acknowledged it after "
    "{wait_s:g} s"
)
def step_unacknowledged(context, wait_s):
    context.before = send_request(context)
    harness = context.harness
    context.number = find_first_delegation(context)
    context.first_delegations = set(harness.delegations)
    harness.advance(wait_s)
    assert context.number in list_checked(context)
    harness.feed(DelegationUnacknowledged(attempt=context.number))


def list_checked(context):
    return [
        command.attempt
        for command in context.harness.commands
        if isinstance(command, CheckDelegation)
    ]


@behave.then(
    "that peer's shards are queried once more elsewhere, and its query is "
    "cancelled"
)
def step_queried_elsewhere(context):
    harness = context.harness
    repeated = [
        command
        for number, command in harness.delegations.items()
        if number not in context.first_delegations
    ]
    assert all(command.terms.repeat for command in repeated)
    assert context.peer not in {command.peer.name for command in repeated}
    own = context.before.get(context.local_nodes[0], ())
    queried = [
        shard for command in repeated for shard in command.terms.shards
    ] + [
        item.replica.service
        for item in harness.list_sent_attempts(context.exchange)
        if item.replica.service not in own
    ]
    assert sorted(queried) == sorted(context.before[context.peer])
    assert CancelDelegation(attempt=context.number) in harness.commands


@behave.when("a query arrives, and all of its peers answer after {wait_s:g} s")
def step_peers_answer(context, wait_s):
    send_request(context)
    context.harness.advance(wait_s)
    answer_delegations(context, context.exchange)
    context.harness.advance(0.1)


@behave.then("no peer is checked")
def step_none_checked(context):
    assert not list_checked(context)


@behave.when("another query arrives, and {wait_s:g} s pass")
def step_query_and_wait(context, wait_s):
    former = set(context.harness.delegations)
    send_request(context)
    context.asked = set(context.harness.delegations) - former
    context.harness.advance(wait_s)


@behave.then("each peer is checked once")
def step_each_checked(context):
    assert context.asked
    assert sorted(list_checked(context)) == sorted(context.asked)


@behave.when("a query arrives and has no reply at its objective")
def step_no_reply(context):
    context.before = send_request(context)
    context.harness.advance(0.2)


@behave.then("its peers were probed")
def step_peers_probed(context):
    peers = set(context.before) - {context.local_nodes[0]}
    assert peers and peers <= list_probed(context)


@behave.when("that peer does not answer its probe")
def step_no_probe_answer(context):
    context.harness.advance(0.001)
    context.harness.feed(PeerProbed(name=context.peer, answered=False))


@behave.when("for 1.2 s a query arrives every 0.05 s and gets no reply")
def step_steady_failures(context):
    for _ in range(24):
        send_request(context)
        context.harness.advance(0.05)
        if count_probes(context) > context.probes:
            context.probes = count_probes(context)
            step_no_probe_answer(context)


def count_probes(context):
    return sum(
        isinstance(command, ProbePeer) and command.peer.name == context.peer
        for command in context.harness.commands
    )


@behave.then("that peer was probed {count:d} times")
def step_probe_count(context, count):
    assert count_probes(context) == count, count_probes(context)


@behave.when("each replica accepts {accepted:d} connections")
def step_accepted(context, accepted):
    context.accepted = accepted
    context.limits = {}
    for node in context.nodes:
        # Each node sees the fleet from its own failure domain.
        near = node.failure_domain
        harness = RoutingHarness(node=node.name, domain=near)
        route = build_route(ROUTE, shards=context.shards)
        harness.feed(NodesListed(nodes=tuple(context.nodes)))
        harness.add_replicas(*context.replicas)
        harness.configure(5, route, connections=accepted)
        context.limits[node] = {
            command.replica.replica_id: command.limit
            for command in harness.commands
            if isinstance(command, SetConnectionLimit)
        }


@behave.then("all nodes together may open at most {accepted:d} to a replica")
def step_total_connections(context, accepted):
    for replica in context.replicas:
        name = replica.replica_id
        total = sum(limits[name] for limits in context.limits.values())
        assert total <= accepted, (name, total)


@behave.then("the owner of a shard may open as many as a replica has slots")
def step_owner_limit(context):
    for replica in context.replicas:
        best = max(
            limits[replica.replica_id]
            for node, limits in context.limits.items()
            if node.failure_domain == replica.failure_domain
        )
        assert best >= replica.slots, (replica, best)
