"""The daemon of a node that routes requests to replicas."""

from collections.abc import Callable
import itertools
import random
import signal
from typing import Any
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
import structlog
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from bluebellbay.coordination.routing.core import RoutingCore
from bluebellbay.protocol.delegation import CancelDelegation
from bluebellbay.protocol.delegation import CheckDelegation
from bluebellbay.protocol.delegation import DelegateQuery
from bluebellbay.protocol.delegation import ProbePeer
from bluebellbay.protocol.delegation import ProbeReplica
from bluebellbay.protocol.delegation import WithdrawDelegation
from bluebellbay.protocol.exchange import CancelAttempt
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeAbandoned
from bluebellbay.protocol.exchange import ExchangeAnswer
from bluebellbay.protocol.exchange import ExchangeOpened
from bluebellbay.protocol.exchange import ForwardAnswer
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import SendAttempt
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.process import ReportHealth
from bluebellbay.protocol.process import ShutdownRequested
from bluebellbay.protocol.process import StopProcess
from bluebellbay.protocol.quota import AskLender
from bluebellbay.protocol.quota import QuotaAnswer
from bluebellbay.protocol.rate_permit import AskForPermit
from bluebellbay.protocol.rate_permit import PermitAnswer
from bluebellbay.protocol.registry import CallersDrained
from bluebellbay.protocol.registry import CloseReplicaConnections
from bluebellbay.protocol.registry import DrainCallers
from bluebellbay.protocol.registry import RulesReloaded
from bluebellbay.protocol.registry import SetCallerLimits
from bluebellbay.protocol.registry import SetConnectionLimit
from bluebellbay.protocol.registry import SetKeepAlive
from bluebellbay.protocol.route import CallerLimits
from bluebellbay.protocol.router_rules import RouterRules
from bluebellbay.transport.delegation import DelegationLink
from bluebellbay.transport.entry import EntryListener
from bluebellbay.transport.follower import StoreFollower
from bluebellbay.transport.peer_wire import DelegationWire
from bluebellbay.transport.replica import ReplicaLink
from bluebellbay.transport.store import StoreClient
from bluebellbay.transport.store import StoreSchema
from bluebellbay.transport.store_pace import StorePace
from bluebellbay.transport.wire import EntryWire
from bluebellbay.transport.wire import ReplicaWire
from bluebellbayd.driver import CoreDriver
from bluebellbayd.garbage_collection import HeapFreezer
from bluebellbayd.http_pages import HealthPage
from bluebellbayd.http_pages import MetricsPage
from bluebellbayd.http_pages import Page
from bluebellbayd.listening import listen_http
from bluebellbayd.listening import listen_on
from bluebellbayd.listening import ListenAddresses
from bluebellbayd.log import log_decision
from bluebellbayd.log_rate_limiter import LogRateLimiter
from bluebellbayd.log_writer import NonBlockingLogWriter
from bluebellbayd.routing_failure import build_exchange_failure
from bluebellbayd.routing_failure import build_routing_failure_event
from bluebellbayd.routing_metrics import RoutingMetrics

if TYPE_CHECKING:
    from bluebellbay.protocol.command import Command
    from bluebellbay.protocol.event import Event

# Time for the last answers to be written to their connections.
ANSWER_FLUSH_DELAY_S = 0.25
LOG_FLUSH_INTERVAL_S = 1.0
# A peer's message holds the whole request of a caller and some more bytes.
PEER_REQUEST_LIMITS = CallerLimits(body_bytes=1_048_576, idle_timeout_s=60.0)


class RouterDaemon:
    """Passes events to the routing core and executes its commands.

    The attribute ``stopped`` fires with ``None`` at the end of a shutdown.

    :param reactor: The Twisted reactor; its clock must be monotonic.
    :param addresses: Addresses to listen on.
    :param rules: Name, failure domain and routing rules of the node.
    :param entry_wire: Encoding of callers' requests and answers.
    :param replica_wire: Encoding of requests to replicas.
    :param store: Client of the platform's store.
    :param schema: Decodes the store's items and encodes those of the node.
    :param rng: The only source of randomness.
    :param log_writer: Log output to flush and whose dropped lines are
        counted; ``None`` if log lines are written elsewhere.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        addresses: ListenAddresses,
        rules: RouterRules,
        entry_wire: EntryWire,
        replica_wire: ReplicaWire,
        store: StoreClient,
        schema: StoreSchema,
        rng: random.Random,
        log_writer: NonBlockingLogWriter | None = None,
    ) -> None:
        self.core = RoutingCore(rules=rules, rng=rng)
        self.metrics = RoutingMetrics(registry=CollectorRegistry())
        self.stopped: Deferred[None] = Deferred()
        self._reactor = reactor
        self._addresses = addresses
        self._node = rules.node
        self._log_rate_limiter = LogRateLimiter()
        # Errors are few, and must not go with the many lines of a busy node.
        self._error_rate_limiter = LogRateLimiter()
        self._log_writer = log_writer
        self._arrival_times: dict[int, float] = {}
        self._heap_freezer = HeapFreezer(reactor=reactor)
        self._health_page = HealthPage()
        self._listening_ports: list[Any] = []
        self._stopping = False
        self._driver = CoreDriver(
            core=self.core,
            reactor=reactor,
            read_clock=reactor.seconds,
            on_event=self._record_event,
            execute=lambda command: self._command_handlers[type(command)](
                command
            ),
            observe_step_time=self.metrics.count_core_time,
            on_event_failure=self._handle_event_failure,
            on_command_failure=self._handle_command_failure,
        )
        exchange_ids = itertools.count(1)
        self._caller_listener = EntryListener(
            reactor=reactor,
            listen=addresses.callers,
            wire=entry_wire,
            exchange_numbers=exchange_ids,
            report=self.feed,
            count_rejected=self._record_rejected_request,
        )
        self._peer_listener = EntryListener(
            reactor=reactor,
            listen=addresses.peers,
            wire=DelegationWire(),
            exchange_numbers=exchange_ids,
            report=self.feed,
            count_rejected=self._record_rejected_request,
            # Peers state the time that is left when they write the request.
            counts_connecting=False,
            acknowledges_at_once=True,
        )
        self._peer_listener.limits = PEER_REQUEST_LIMITS
        self._replica_link = ReplicaLink(
            reactor=reactor, wire=replica_wire, report=self.feed
        )
        self._delegation_link = DelegationLink(
            reactor=reactor, report=self.feed
        )
        self._store_follower = StoreFollower(
            reactor=reactor,
            client=store,
            schema=schema,
            node=NodeEntry(
                name=rules.node,
                address=addresses.peers,
                failure_domain=rules.failure_domain,
            ),
            report=self.feed,
            report_exception=self._log_store_fault,
            rng=rng,
            pace=StorePace(allowance=rules.store),
            count_nodes=lambda: self.core.state.nodes,
            read_version=lambda: self.core.state.routes.version,
        )
        self._log_flush_loop = LoopingCall(self._flush_log)
        self._log_flush_loop.clock = reactor
        self._command_handlers = self._map_command_handlers()

    @property
    def port(self) -> int:
        """TCP port on which callers' connections are accepted."""
        return self._caller_listener.port

    def start(self) -> None:
        """Listen on all addresses, then start to follow the store.

        Peers find the node in the store, so it registers itself only once it
        listens.

        :raises ListenFailed: If it can't listen on an address; the daemon is
            of no use then.
        """
        addresses = self._addresses
        listen_on(addresses.callers, self._caller_listener.start)
        listen_on(addresses.peers, self._peer_listener.start)
        self._listen_http(addresses.health, self._health_page)
        metrics_page = MetricsPage(read_registry=self._update_metrics)
        self._listen_http(addresses.metrics, metrics_page)
        self._store_follower.start()
        self._log_flush_loop.start(LOG_FLUSH_INTERVAL_S, now=False)
        self._log(
            "Started listening for callers", listen=self._addresses.callers
        )

    def install_signals(self) -> None:
        """Request a graceful shutdown on SIGTERM and SIGINT."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._handle_signal)

    def feed(self, event: "Event") -> None:
        """Pass an event to the core and execute the resulting commands.

        :param event: The event.
        """
        self._driver.feed(event)

    def apply_settings(self, rules: RouterRules) -> None:
        """Apply changed settings without a restart.

        :param rules: The new routing rules.
        """
        self._store_follower.pace = StorePace(allowance=rules.store)
        self.feed(RulesReloaded(rules=rules))

    def record_unreadable_item(self, key: str, reason: str) -> None:
        """Count and log an item of the store that can't be used.

        :param key: Key of the item.
        :param reason: Why it can't be used, as a short phrase.
        """
        self.metrics.count_unreadable_item()
        self._log(
            "Ignored a store item that can't be used",
            key=key,
            reason=reason,
        )

    def _map_command_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            SendAttempt: self._replica_link.send,
            CancelAttempt: self._replica_link.cancel,
            SetConnectionLimit: self._replica_link.set_limit,
            CloseReplicaConnections: self._replica_link.remove_replica,
            ForwardAnswer: self._send_answer,
            MergedAnswer: self._send_answer,
            ErrorAnswer: self._send_answer,
            SetCallerLimits: self._set_caller_limits,
            SetKeepAlive: self._set_keep_alive,
            DrainCallers: lambda command: self._drain_callers(),
            ProbePeer: self._delegation_link.probe,
            ProbeReplica: self._replica_link.probe,
            AskLender: self._delegation_link.ask,
            QuotaAnswer: self._send_quota_answer,
            AskForPermit: self._delegation_link.ask_for_permit,
            PermitAnswer: self._send_permit_answer,
            DelegateQuery: self._delegation_link.send,
            WithdrawDelegation: self._delegation_link.withdraw,
            CheckDelegation: self._delegation_link.check,
            CancelDelegation: self._delegation_link.cancel,
            ReportHealth: self._report_health,
            LogDecision: self._log_decision,
            StopProcess: lambda command: self._stop(),
        }

    def _listen_http(self, address: str, page: Page) -> None:
        port = listen_http(self._reactor, address, page)
        self._listening_ports.append(port)

    def _record_event(self, event: "Event") -> None:
        if isinstance(event, ExchangeOpened):
            self._arrival_times[event.exchange] = self._reactor.seconds()
        elif isinstance(event, ExchangeAbandoned):
            self._arrival_times.pop(event.exchange, None)
        self.metrics.count_event(event)

    def _handle_event_failure(self, event: "Event") -> None:
        self.metrics.count_unexpected_error()
        if isinstance(event, ExchangeOpened):
            self._send_answer(build_exchange_failure(event))

    def _handle_command_failure(self, command: "Command") -> None:
        self.metrics.count_unexpected_error()
        event = build_routing_failure_event(command)
        if event is not None:
            self.feed(event)

    def _send_answer(self, answer: ExchangeAnswer) -> None:
        arrived_at = self._arrival_times.pop(answer.exchange, None)
        if arrived_at is not None:
            seconds = self._reactor.seconds() - arrived_at
            self.metrics.observe_answer(answer, seconds)
        for entry in (self._caller_listener, self._peer_listener):
            entry.answer(answer)

    def _send_quota_answer(self, answer: QuotaAnswer) -> None:
        self.metrics.count_lender_answer(answer)
        self._peer_listener.answer(answer)

    def _send_permit_answer(self, answer: PermitAnswer) -> None:
        self.metrics.count_permit_answer(answer)
        self._peer_listener.answer(answer)

    def _set_caller_limits(self, command: SetCallerLimits) -> None:
        # The command comes with each configuration that takes effect.
        self._caller_listener.limits = command.limits
        self._heap_freezer.schedule()

    def _set_keep_alive(self, command: SetKeepAlive) -> None:
        self._caller_listener.keep_alive = command.allowed

    def _drain_callers(self) -> None:
        drained = self._caller_listener.drain()
        drained.addCallback(lambda _: self.feed(CallersDrained()))

    def _report_health(self, command: ReportHealth) -> None:
        self._health_page.ready = command.healthy
        if command.healthy:
            self._heap_freezer.schedule()

    def _log_decision(self, decision: LogDecision) -> None:
        if decision.request_id and not self._choose_limiter(
            decision
        ).try_acquire(self._reactor.seconds()):
            return
        log_decision(decision)

    def _choose_limiter(self, decision: LogDecision) -> LogRateLimiter:
        if any(field.name == "error" for field in decision.fields):
            return self._error_rate_limiter
        return self._log_rate_limiter

    def _flush_log(self) -> None:
        dropped_lines = (
            self._log_rate_limiter.pop_suppressed_count()
            + self._error_rate_limiter.pop_suppressed_count()
        )
        if self._log_writer is not None:
            self._log_writer.flush()
            dropped_lines += self._log_writer.pop_dropped_count()
        if not dropped_lines:
            return
        self.metrics.count_dropped_lines(dropped_lines)
        self._log(
            "Dropped log lines over the rate limit or the write buffer",
            lines=dropped_lines,
        )

    def _record_rejected_request(self, status: int) -> None:
        self.metrics.count_rejected_request(status)
        self._log(
            "Rejected an HTTP request that was invalid, too large or too slow",
            status=status,
        )

    def _log_store_fault(self, error: Exception) -> None:
        self._log(
            "An unexpected error interrupted reading the store",
            error=repr(error),
        )

    def _update_metrics(self) -> CollectorRegistry:
        self.metrics.set_gauges(self.core.state, self._reactor.seconds())
        queues = self.core.context.queues
        self.metrics.record_queues(
            queues.take_counts(), queues.count_waiting()
        )
        self.metrics.set_store_silence(
            self.core.state.store.measure_silence(self._reactor.seconds())
        )
        return self.metrics.registry

    def _handle_signal(self, number: int, frame: Any) -> None:
        self._reactor.callFromThread(self.feed, ShutdownRequested())

    def _stop(self) -> None:
        if self._stopping:
            return
        self._stopping = True
        self._driver.stop()
        self._caller_listener.stop()
        self._peer_listener.stop()
        for port in self._listening_ports:
            port.stopListening()
        self._store_follower.stop()
        self._heap_freezer.stop()
        self._reactor.callLater(ANSWER_FLUSH_DELAY_S, self._finish_stop)

    def _finish_stop(self) -> None:
        self._flush_log()
        self._log_flush_loop.stop()
        self._log("Stopped the daemon")
        self.stopped.callback(None)

    def _log(self, sentence: str, **fields: Any) -> None:
        structlog.get_logger().info(sentence, part="daemon", **fields)
