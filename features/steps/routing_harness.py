"""Test harness: a routing core on a manual clock, and its commands."""

import dataclasses
import random

from bluebellbay.coordination.routing.core import RoutingCore
from bluebellbay.protocol.delegation import DelegateQuery
from bluebellbay.protocol.exchange import AttemptFailed
from bluebellbay.protocol.exchange import AttemptRefused
from bluebellbay.protocol.exchange import AttemptReplied
from bluebellbay.protocol.exchange import CancelAttempt
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import ForwardAnswer
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import RefusalKind
from bluebellbay.protocol.exchange import ReplicaReply
from bluebellbay.protocol.exchange import RoutedRequest
from bluebellbay.protocol.exchange import SendAttempt
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.registry import ConfigurationReceived
from bluebellbay.protocol.registry import EvacuationsListed
from bluebellbay.protocol.registry import ReplicaUpdated
from bluebellbay.protocol.replica import ReplicaEntry
from bluebellbay.protocol.route import CallerLimits
from bluebellbay.protocol.route import Idempotency
from bluebellbay.protocol.route import Route
from bluebellbay.protocol.route import RouteConfiguration
from bluebellbay.protocol.route import ScatterRule
from bluebellbay.protocol.route import ServiceLimits
from bluebellbay.protocol.route import WeightedService
from bluebellbay.protocol.router_rules import RetryLimits
from bluebellbay.protocol.router_rules import RouterRules

HOST = "calls.example"
DOMAIN = "zone-a"
ANSWERS = (ForwardAnswer, MergedAnswer, ErrorAnswer)


def build_route(
    name,
    *,
    service=None,
    shards=(),
    idempotent=True,
    attempt_limit=2,
    min_coverage=0.75,
    most_records=5,
    timeout_s=1.0,
    objective_s=0.1,
    split=(),
):
    scatter = None
    if shards:
        scatter = ScatterRule(
            shards=tuple(shards),
            most_records=most_records,
            min_coverage=min_coverage,
        )
    services = tuple(
        WeightedService(service=item, weight=weight) for item, weight in split
    )
    if service is not None:
        services = (WeightedService(service=service, weight=1.0),)
    return Route(
        name=name,
        host=HOST,
        prefix=f"/{name}/",
        idempotency=(
            Idempotency.IDEMPOTENT
            if idempotent
            else Idempotency.NOT_IDEMPOTENT
        ),
        timeout_s=timeout_s,
        objective_s=objective_s,
        most_attempts=attempt_limit,
        rank=1,
        services=services,
        scatter=scatter,
    )


def build_configuration(version, *routes, connections=26):
    service_names = {
        share.service for route in routes for share in route.services
    }
    for route in routes:
        if route.scatter is not None:
            service_names.update(route.scatter.shards)
    return RouteConfiguration(
        version=version,
        routes=tuple(routes),
        services={
            name: ServiceLimits(name=name, connections=connections)
            for name in service_names
        },
        limits=CallerLimits(),
    )


def build_replica(replica_id, service, **fields):
    values = {
        "replica_id": replica_id,
        "service": service,
        "address": f"10.0.0.1:{9000 + sum(map(ord, replica_id)) % 900}",
        "failure_domain": DOMAIN,
        "slots": 2,
        "draining": False,
        "started_ms": 1000,
        "sequence": 1,
    }
    return ReplicaEntry(**{**values, **fields})


def build_request(
    route,
    *,
    number=1,
    patience_s=1.0,
    method=b"GET",
    delegation=None,
    credentials=(),
    account="",
):
    return RoutedRequest(
        request_id=f"request-{number}",
        method=method,
        target=f"/{route}/{number}".encode(),
        host=HOST,
        forwarded=b"",
        patience_s=patience_s,
        delegation=delegation,
        credentials=credentials,
        account=account,
    )


def build_reply(digest="digest", *, status=200, body=b""):
    return ReplicaReply(status=status, digest=digest, forwarded=b"", body=body)


@dataclasses.dataclass(kw_only=True)
class SentAttempt:
    """An attempt that the core sent to a replica."""

    command: SendAttempt
    sent_at: float
    ended: bool = False
    cancelled: bool = False


class RoutingHarness:
    """Feeds events to a routing core and records its commands."""

    def __init__(
        self,
        *,
        seed=1,
        nodes=1,
        slack=58.0,
        node="node-1",
        domain=DOMAIN,
        first_start=True,
    ):
        self.rules = RouterRules(
            node=node,
            failure_domain=domain,
            first_start=first_start,
            nodes=nodes,
            retries=RetryLimits(share=0.2, slack=slack, window_s=10.0),
        )
        self.core = RoutingCore(rules=self.rules, rng=random.Random(seed))
        self.now = 100.0
        self.commands = []
        self.attempts = {}
        self.delegations = {}
        self.answers = {}
        self.arrived_at = {}
        self.answered_at = {}
        self.feed(EvacuationsListed(domains=frozenset()))

    def feed(self, event):
        commands = self.core.step(event, self.now)
        for command in commands:
            self._record(command)
        return commands

    def configure(self, version, *routes, **fields):
        return self.feed(
            ConfigurationReceived(
                configuration=build_configuration(version, *routes, **fields)
            )
        )

    def add_replicas(self, *entries):
        for entry in entries:
            self.feed(ReplicaUpdated(entry=entry))

    def open_exchange(
        self,
        exchange,
        route,
        *,
        patience_s=1.0,
        age_s=0.0,
        return_s=0.0,
        **fields,
    ):
        self.arrived_at[exchange] = self.now
        request = build_request(
            route, number=exchange, patience_s=patience_s, **fields
        )
        return self.feed(
            ExchangeOpened(
                exchange=exchange,
                request=request,
                age_s=age_s,
                return_s=return_s,
            )
        )

    def reply(self, attempt, *, digest=None, status=200, body=b"", **fields):
        self.attempts[attempt].ended = True
        digest = digest if digest is not None else f"digest-{attempt}"
        reply = build_reply(digest, status=status, body=body)
        return self.feed(
            AttemptReplied(attempt=attempt, reply=reply, **fields)
        )

    def refuse(self, attempt, kind=RefusalKind.OVERLOADED, **fields):
        self.attempts[attempt].ended = True
        return self.feed(AttemptRefused(attempt=attempt, kind=kind, **fields))

    def fail(self, attempt, *, sent=True):
        self.attempts[attempt].ended = True
        return self.feed(
            AttemptFailed(attempt=attempt, sent=sent, reason="reset")
        )

    def advance(self, seconds):
        until = self.now + seconds
        while True:
            wake_at = self.core.get_wakeup_time()
            if wake_at is None or wake_at > until:
                break
            self.now = max(self.now, wake_at)
            self.feed(TimerTick())
        self.now = until

    def list_open_attempts(self):
        return [
            number
            for number, attempt in self.attempts.items()
            if not attempt.ended
        ]

    def list_sent_attempts(self, exchange):
        request_id = f"request-{exchange}"
        return [
            attempt.command
            for attempt in self.attempts.values()
            if attempt.command.request.request_id == request_id
        ]

    def _record(self, command):
        self.commands.append(command)
        if isinstance(command, SendAttempt):
            self.attempts[command.attempt] = SentAttempt(
                command=command, sent_at=self.now
            )
        elif isinstance(command, CancelAttempt):
            if command.attempt in self.attempts:
                self.attempts[command.attempt].cancelled = True
        elif isinstance(command, DelegateQuery):
            self.delegations[command.attempt] = command
        elif isinstance(command, ANSWERS):
            assert command.exchange not in self.answers, "answered twice"
            self.answers[command.exchange] = command
            self.answered_at[command.exchange] = self.now
