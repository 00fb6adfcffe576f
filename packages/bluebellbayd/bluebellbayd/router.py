"""The daemon of a node that routes requests to replicas."""

from collections.abc import Callable
import dataclasses
import itertools
import random
import signal
from typing import Any

from prometheus_client import CollectorRegistry
import structlog
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from bluebellbay.coordination.routing.core import RoutingCore
from bluebellbay.protocol.command import LogDecision
from bluebellbay.protocol.command import ReportHealth
from bluebellbay.protocol.command import StopProcess
from bluebellbay.protocol.delegation import CancelDelegation
from bluebellbay.protocol.delegation import DelegateQuery
from bluebellbay.protocol.delegation import ProbePeer
from bluebellbay.protocol.delegation import ProbeReplica
from bluebellbay.protocol.delegation import WithdrawDelegation
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import ShutdownRequested
from bluebellbay.protocol.exchange import CancelAttempt
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeAbandoned
from bluebellbay.protocol.exchange import ExchangeAnswer
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import ForwardAnswer
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import SendAttempt
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.registry import CloseReplicaConnections
from bluebellbay.protocol.registry import RulesReloaded
from bluebellbay.protocol.registry import SetCallerLimits
from bluebellbay.protocol.registry import SetConnectionLimit
from bluebellbay.protocol.registry import SetKeepAlive
from bluebellbay.protocol.route import CallerLimits
from bluebellbay.protocol.router_rules import RouterRules
from bluebellbay.transport._address import parse_address
from bluebellbay.transport.delegation import DelegationLink
from bluebellbay.transport.delegation import DelegationWire
from bluebellbay.transport.entry import EntryListener
from bluebellbay.transport.follower import StoreFollower
from bluebellbay.transport.replica import ReplicaLink
from bluebellbay.transport.store import StoreClient
from bluebellbay.transport.store import StoreSchema
from bluebellbay.transport.store_pace import StorePace
from bluebellbay.transport.wire import EntryWire
from bluebellbay.transport.wire import ReplicaWire
from bluebellbayd.driver import CoreDriver
from bluebellbayd.health_page import build_site
from bluebellbayd.health_page import HealthPage
from bluebellbayd.health_page import MetricsPage
from bluebellbayd.line_limit import LineLimit
from bluebellbayd.log import log_decision
from bluebellbayd.log_writer import BoundedWriter
from bluebellbayd.routing_metrics import RoutingMetrics

# Time for the last answers to leave.
FLUSH_S = 0.25
LOG_CHECK_S = 1.0
# What a peer may send: a whole request of a caller, and some more.
PEER_LIMITS = CallerLimits(body_bytes=1_048_576, idle_timeout_s=60.0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouterAddresses:
    """Where a node listens.

    :param callers: ``host:port`` for callers.
    :param health: ``host:port`` for the balancer's health checks.
    :param metrics: ``host:port`` for metrics.
    :param peers: ``host:port`` for the other nodes.
    """

    callers: str
    health: str
    metrics: str
    peers: str


class RouterDaemon:
    """Feeds events to the routing core and carries out its commands.

    :param reactor: The reactor; its clock must be steady.
    :param addresses: Where it listens.
    :param rules: What it must keep to.
    :param entry_wire: How callers' requests and answers are written.
    :param replica_wire: How requests to replicas are written.
    :param store: Calls to the platform's store.
    :param schema: What the store's items mean.
    :param pace: How often the store is called.
    :param rng: The only source of randomness.
    :param log_writer: Where log lines go, if their loss is to be counted.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        addresses: RouterAddresses,
        rules: RouterRules,
        entry_wire: EntryWire,
        replica_wire: ReplicaWire,
        store: StoreClient,
        schema: StoreSchema,
        pace: StorePace,
        rng: random.Random,
        log_writer: BoundedWriter | None = None,
    ) -> None:
        self.core = RoutingCore(rules=rules, rng=rng)
        self.metrics = RoutingMetrics(registry=CollectorRegistry())
        self.stopped: Deferred[None] = Deferred()
        self._reactor = reactor
        self._addresses = addresses
        self._node = rules.node
        self._lines = LineLimit()
        self._log_writer = log_writer
        self._arrived_at: dict[int, float] = {}
        self._health = HealthPage()
        self._ports: list[Any] = []
        self._stopping = False
        self._driver = CoreDriver(
            core=self.core,
            reactor=reactor,
            read_clock=reactor.seconds,
            before=self._note_event,
            carry_out=lambda command: self._actions[type(command)](command),
            observe=self.metrics.count_core_time,
        )
        numbers = itertools.count(1)
        self._entry = EntryListener(
            reactor=reactor,
            listen=addresses.callers,
            wire=entry_wire,
            exchange_numbers=numbers,
            report=self.feed,
            count_rejected=self._note_rejected,
        )
        self._peer_entry = EntryListener(
            reactor=reactor,
            listen=addresses.peers,
            wire=DelegationWire(),
            exchange_numbers=numbers,
            report=self.feed,
            count_rejected=self._note_rejected,
        )
        self._peer_entry.limits = PEER_LIMITS
        self._replicas = ReplicaLink(
            reactor=reactor, wire=replica_wire, report=self.feed
        )
        self._peers = DelegationLink(reactor=reactor, report=self.feed)
        self._follower = StoreFollower(
            reactor=reactor,
            client=store,
            schema=schema,
            node=NodeEntry(
                name=rules.node,
                address=addresses.peers,
                failure_domain=rules.failure_domain,
            ),
            report=self.feed,
            report_exception=self._note_fault,
            rng=rng,
            pace=pace,
            count_nodes=lambda: self.core.state.nodes,
        )
        self._log_check = LoopingCall(self._check_log)
        self._log_check.clock = reactor
        self._actions = self._list_actions()

    @property
    def port(self) -> int:
        """TCP port that callers are listened for on."""
        return self._entry.port

    def start(self) -> None:
        """Listen, and begin to follow the store."""
        self._entry.start()
        self._peer_entry.start()
        self._listen(self._addresses.health, self._health)
        self._listen(
            self._addresses.metrics, MetricsPage(read=self._read_metrics)
        )
        self._follower.start()
        self._log_check.start(LOG_CHECK_S, now=False)
        self._log("Started", listen=self._addresses.callers)

    def install_signals(self) -> None:
        """Turn SIGTERM and SIGINT into requests to shut down."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._take_signal)

    def feed(self, event: Event) -> None:
        """Give the core an event and carry out what follows from it.

        :param event: The event.
        """
        self._driver.feed(event)

    def apply(self, rules: RouterRules, pace: StorePace) -> None:
        """Go on with what changed settings say.

        :param rules: What the node must keep to.
        :param pace: How often the store is called.
        """
        self._follower.pace = pace
        self.feed(RulesReloaded(rules=rules))

    def note_unreadable(self, key: str, reason: str) -> None:
        """Log an item of the store that can't be read.

        :param key: Its key.
        :param reason: One short phrase.
        """
        self.metrics.count_unreadable_item()
        self._log("Left out an unreadable item", key=key, reason=reason)

    def _list_actions(self) -> dict[type, Callable[[Any], None]]:
        return {
            SendAttempt: self._replicas.send,
            CancelAttempt: self._replicas.cancel,
            SetConnectionLimit: self._replicas.set_limit,
            CloseReplicaConnections: self._replicas.remove_replica,
            ForwardAnswer: self._answer,
            MergedAnswer: self._answer,
            ErrorAnswer: self._answer,
            SetCallerLimits: self._set_limits,
            SetKeepAlive: self._set_keep_alive,
            ProbePeer: self._peers.probe,
            ProbeReplica: self._replicas.probe,
            DelegateQuery: self._peers.send,
            WithdrawDelegation: self._peers.withdraw,
            CancelDelegation: self._peers.cancel,
            ReportHealth: self._report_health,
            LogDecision: self._log_decision,
            StopProcess: lambda command: self._stop(),
        }

    def _listen(self, address: str, page: Any) -> None:
        target = parse_address(address)
        self._ports.append(
            self._reactor.listenTCP(
                target.port, build_site(page), interface=target.host
            )
        )

    def _note_event(self, event: Event) -> None:
        if isinstance(event, ExchangeOpened):
            self._arrived_at[event.exchange] = self._reactor.seconds()
        elif isinstance(event, ExchangeAbandoned):
            self._arrived_at.pop(event.exchange, None)
        self.metrics.count_event(event)

    def _answer(self, answer: ExchangeAnswer) -> None:
        arrived_at = self._arrived_at.pop(answer.exchange, None)
        if arrived_at is not None:
            seconds = self._reactor.seconds() - arrived_at
            self.metrics.observe_answer(answer, seconds)
        for entry in (self._entry, self._peer_entry):
            entry.answer(answer)

    def _set_limits(self, command: SetCallerLimits) -> None:
        self._entry.limits = command.limits

    def _set_keep_alive(self, command: SetKeepAlive) -> None:
        self._entry.keep_alive = command.allowed

    def _report_health(self, command: ReportHealth) -> None:
        self._health.ready = command.healthy

    def _log_decision(self, decision: LogDecision) -> None:
        if decision.request_id and not self._lines.take(
            self._reactor.seconds()
        ):
            return
        log_decision(decision)

    def _check_log(self) -> None:
        left_out = self._lines.take_left_out()
        if self._log_writer is not None:
            self._log_writer.flush()
            left_out += self._log_writer.take_dropped()
        if not left_out:
            return
        self.metrics.count_dropped_lines(left_out)
        self._log("Left out log lines", lines=left_out)

    def _note_rejected(self, status: int) -> None:
        self.metrics.count_rejected(status)
        self._log("Rejected an unreadable request", status=status)

    def _note_fault(self, error: Exception) -> None:
        self._log("Following the store failed", error=repr(error))

    def _read_metrics(self) -> CollectorRegistry:
        self.metrics.set_gauges(self.core.state)
        return self.metrics.registry

    def _take_signal(self, number: int, frame: Any) -> None:
        self._reactor.callFromThread(self.feed, ShutdownRequested())

    def _stop(self) -> None:
        if self._stopping:
            return
        self._stopping = True
        self._driver.stop()
        self._entry.stop()
        self._peer_entry.stop()
        self._follower.stop()
        self._reactor.callLater(FLUSH_S, self._end)

    def _end(self) -> None:
        self._check_log()
        self._log_check.stop()
        self._log("Stopped")
        self.stopped.callback(None)

    def _log(self, sentence: str, **fields: Any) -> None:
        structlog.get_logger().info(sentence, part="daemon", **fields)
