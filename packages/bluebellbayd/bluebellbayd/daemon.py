"""The daemon of a query node on an entry VM."""

from collections.abc import Callable
import random
import signal
from typing import Any

from prometheus_client import CollectorRegistry
import structlog
from twisted.internet.defer import Deferred
from twisted.internet.defer import gatherResults

from bluebellbay.coordination.core import Core
from bluebellbay.coordination.part import Part
from bluebellbay.protocol.command import AnswerCaller
from bluebellbay.protocol.command import CancelLeg
from bluebellbay.protocol.command import Command
from bluebellbay.protocol.command import PollServer
from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.command import ReadVmList
from bluebellbay.protocol.command import SendLeg
from bluebellbay.protocol.command import SendPeerMessage
from bluebellbay.protocol.command import SetConnectionShare
from bluebellbay.protocol.command import WatchKey
from bluebellbay.protocol.command import WriteKey
from bluebellbay.protocol.event import CallerDisconnected
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import PeerMessageDropped
from bluebellbay.protocol.event import QueryArrived
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.process import ReportHealth
from bluebellbay.protocol.process import ShutdownRequested
from bluebellbay.protocol.process import StopProcess
from bluebellbay.protocol.process import TimerTick
from bluebellbay.settings import Settings
from bluebellbay.transport.backend import HttpBackendLink
from bluebellbay.transport.caller import HttpCallerLink
from bluebellbay.transport.peer import NngPeerLink
from bluebellbay.transport.platform import HttpStoreLink
from bluebellbay.transport.platform import HttpVmListLink
from bluebellbayd.clock import SlewedClock
from bluebellbayd.driver import CoreDriver
from bluebellbayd.failure import build_failure_event
from bluebellbayd.failure import build_query_failure
from bluebellbayd.log import log_decision
from bluebellbayd.metrics import Metrics
from bluebellbayd.status import build_status

# Bounds how long slow readers of answers can delay the exit.
CLOSE_TIMEOUT_S = 10.0


class Daemon:
    """Passes events to the decision core and executes its commands.

    The attribute ``stopped`` fires with ``None`` once every connection is
    closed or has timed out.

    :param settings: Settings of the node.
    :param reactor: The Twisted reactor.
    :param rng: The only source of randomness; by default that of the
        operating system.
    :param parts: Classes of the core's parts; all of them by default.
    :param clock: Unix time in seconds that never goes back; a new
        ``SlewedClock`` by default.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        reactor: Any,
        rng: random.Random | None = None,
        parts: tuple[type[Part], ...] | None = None,
        clock: SlewedClock | None = None,
    ) -> None:
        self.settings = settings
        self.core = Core(
            settings=settings, rng=rng or random.SystemRandom(), parts=parts
        )
        self.metrics = Metrics(
            registry=CollectorRegistry(),
            is_known_profile=self._is_known_profile,
        )
        self.stopped: Deferred[None] = Deferred()
        self._reactor = reactor
        self._clock = clock or SlewedClock()
        self._stopping = False
        self._healthy = False
        self._callers_in_flight: set[int] = set()
        self._driver = CoreDriver(
            core=self.core,
            reactor=reactor,
            read_clock=self._clock.read,
            on_event=self._record_event,
            execute=lambda command: self._command_handlers[type(command)](
                command
            ),
            observe_step_time=self.metrics.count_core_time,
            on_event_failure=self._handle_event_failure,
            on_command_failure=self._handle_command_failure,
        )
        self._build_links()
        self._command_handlers = self._map_command_handlers()

    @property
    def port(self) -> int:
        """TCP port on which callers' connections are accepted."""
        return self._caller_link.port

    def start(self) -> None:
        """Listen for peers and callers and start the core's timers."""
        self._peer_link.start()
        self._caller_link.start()
        self._log(
            "Started listening for callers", listen=self.settings.node.listen
        )
        self.feed(TimerTick())

    def install_signals(self) -> None:
        """Request a graceful shutdown on SIGTERM and SIGINT."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._handle_signal)

    def feed(self, event: Event) -> None:
        """Pass an event to the core and execute the resulting commands.

        :param event: The event.
        """
        self._driver.feed(event)

    def _is_known_profile(self, name: str) -> bool:
        return self.core.state.configuration.find_profile(name) is not None

    def _build_links(self) -> None:
        settings = self.settings
        platform = settings.platform
        self._caller_link = HttpCallerLink(
            reactor=self._reactor,
            listen=settings.node.listen,
            body_limit_bytes=settings.limits.body_bytes,
            head_s=settings.limits.head_s,
            report=self.feed,
            record_answer=self.metrics.observe_answer,
            read_status=self._read_status,
            read_configuration=lambda: self.core.state.configuration.document,
            read_metrics=self._update_metrics,
        )
        self._backend_link = HttpBackendLink(
            reactor=self._reactor, report=self.feed
        )
        self._store_link = HttpStoreLink(
            reactor=self._reactor,
            url=platform.store,
            timeout_s=platform.store_timeout_s,
            report=self.feed,
        )
        self._vm_list_link = HttpVmListLink(
            reactor=self._reactor,
            url=platform.vm_list,
            timeout_s=platform.store_timeout_s,
            report=self.feed,
        )
        self._peer_link = NngPeerLink(
            reactor=self._reactor,
            name=settings.node.name,
            listen=settings.node.peer_listen,
            report=self.feed,
            clock_skew_s=settings.limits.clock_skew_s,
        )

    def _map_command_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            SendLeg: self._send_leg,
            CancelLeg: self._cancel_leg,
            AnswerCaller: self._answer_caller,
            PollServer: self._backend_link.poll_server,
            SetConnectionShare: self._backend_link.set_share,
            ReadVmList: lambda command: self._vm_list_link.read_vm_list(),
            ReadKey: self._read_key,
            WriteKey: self._write_key,
            WatchKey: self._watch_key,
            SendPeerMessage: self._send_peer,
            ReportHealth: self._report_health,
            StopProcess: lambda command: self._stop(),
            LogDecision: self._log_decision,
        }

    def _handle_event_failure(self, event: Event) -> None:
        self.metrics.count_unexpected_error()
        if isinstance(event, QueryArrived):
            self._callers_in_flight.discard(event.caller)
            self._caller_link.answer(
                caller=event.caller, answer=build_query_failure(event)
            )

    def _handle_command_failure(self, command: Command) -> None:
        self.metrics.count_unexpected_error()
        event = build_failure_event(command)
        if event is not None:
            self.feed(event)

    def _record_event(self, event: Event) -> None:
        self.metrics.count_event(event)
        self._track_caller(event)
        if isinstance(event, PeerMessageDropped):
            self._log(
                "Dropped an invalid message from a peer", reason=event.reason
            )

    def _track_caller(self, event: Event) -> None:
        if isinstance(event, QueryArrived):
            self._callers_in_flight.add(event.caller)
        if isinstance(event, CallerDisconnected):
            self._callers_in_flight.discard(event.caller)

    def _handle_signal(self, number: int, frame: Any) -> None:
        self._reactor.callFromThread(self.feed, ShutdownRequested())

    def _send_leg(self, command: SendLeg) -> None:
        self.metrics.count_leg(command)
        self._backend_link.send_leg(command)

    def _cancel_leg(self, command: CancelLeg) -> None:
        self.metrics.count_cancelled_leg()
        self._backend_link.cancel_leg(command)

    def _answer_caller(self, command: AnswerCaller) -> None:
        self._callers_in_flight.discard(command.caller)
        self._caller_link.answer(caller=command.caller, answer=command.answer)

    def _read_key(self, command: ReadKey) -> None:
        self.metrics.count_store_call("read")
        self._store_link.read_key(command)

    def _write_key(self, command: WriteKey) -> None:
        self.metrics.count_store_call("write")
        self._store_link.write_key(command)

    def _watch_key(self, command: WatchKey) -> None:
        self.metrics.count_store_call("watch")
        self._store_link.watch_key(command)

    def _send_peer(self, command: SendPeerMessage) -> None:
        self.metrics.count_sent_peer_message()
        self._peer_link.send_peer(command)

    def _report_health(self, command: ReportHealth) -> None:
        self._healthy = command.healthy
        self._caller_link.report_health(healthy=command.healthy)

    def _log_decision(self, command: LogDecision) -> None:
        if self.settings.log.decisions:
            log_decision(command)

    def _stop(self) -> None:
        if self._stopping:
            return
        self._stopping = True
        self._driver.stop()
        self._log("Stopping the daemon after its last answers are written")
        answers_flushed = self._caller_link.stop()
        answers_flushed.addTimeout(CLOSE_TIMEOUT_S, self._reactor)
        answers_flushed.addBoth(lambda _: self._close_links())

    def _close_links(self) -> None:
        self._peer_link.stop()
        links_closed = gatherResults(
            [
                self._backend_link.stop(),
                self._store_link.stop(),
                self._vm_list_link.stop(),
            ]
        )
        links_closed.addTimeout(CLOSE_TIMEOUT_S, self._reactor)
        links_closed.addBoth(lambda _: self.stopped.callback(None))

    def _read_status(self) -> Any:
        return build_status(
            self.core.state, healthy=self._healthy, now=self._clock.read()
        )

    def _update_metrics(self) -> CollectorRegistry:
        self.metrics.set_gauges(
            in_flight=len(self._callers_in_flight),
            revision=self.core.state.configuration.revision,
        )
        return self.metrics.registry

    def _log(self, sentence: str, **fields: Any) -> None:
        structlog.get_logger().info(sentence, part="daemon", **fields)
