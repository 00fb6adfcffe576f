"""The daemon: owns the decision core and carries out its commands."""

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
from bluebellbay.protocol.command import LogDecision
from bluebellbay.protocol.command import PollServer
from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.command import ReadVmList
from bluebellbay.protocol.command import ReportHealth
from bluebellbay.protocol.command import SendLeg
from bluebellbay.protocol.command import SendPeerMessage
from bluebellbay.protocol.command import SetConnectionShare
from bluebellbay.protocol.command import StopProcess
from bluebellbay.protocol.command import WatchKey
from bluebellbay.protocol.command import WriteKey
from bluebellbay.protocol.event import CallerDisconnected
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import PeerMessageDropped
from bluebellbay.protocol.event import QueryArrived
from bluebellbay.protocol.event import ShutdownRequested
from bluebellbay.protocol.event import TimerTick
from bluebellbay.settings import Settings
from bluebellbay.transport.backend import HttpBackendLink
from bluebellbay.transport.caller import HttpCallerLink
from bluebellbay.transport.peer import NngPeerLink
from bluebellbay.transport.platform import HttpStoreLink
from bluebellbay.transport.platform import HttpVmListLink
from bluebellbayd.clock import SteadyClock
from bluebellbayd.driver import CoreDriver
from bluebellbayd.log import log_decision
from bluebellbayd.metrics import Metrics
from bluebellbayd.status import build_status

# Callers that read slowly can't hold up the end for longer.
FLUSH_LIMIT_S = 10.0


class Daemon:
    """Feeds events to the core and carries out the commands it returns.

    :param settings: The node's settings.
    :param reactor: The reactor.
    :param rng: The only source of randomness.
    :param parts: Classes of the core's parts; the default is all of them.
    :param clock: Gives Unix time in seconds and never goes back.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        reactor: Any,
        rng: random.Random | None = None,
        parts: tuple[type[Part], ...] | None = None,
        clock: SteadyClock | None = None,
    ) -> None:
        self.settings = settings
        self.core = Core(
            settings=settings, rng=rng or random.SystemRandom(), parts=parts
        )
        self.metrics = Metrics(
            registry=CollectorRegistry(), knows_profile=self._knows_profile
        )
        self.stopped: Deferred[None] = Deferred()
        self._reactor = reactor
        self._clock = clock or SteadyClock()
        self._stopping = False
        self._healthy = False
        self._in_flight: set[int] = set()
        self._driver = CoreDriver(
            core=self.core,
            reactor=reactor,
            read_clock=self._clock.read,
            before=self._note_event,
            carry_out=lambda command: self._actions[type(command)](command),
            observe=self.metrics.count_core_time,
        )
        self._build_links()
        self._actions = self._list_actions()

    @property
    def port(self) -> int:
        """TCP port that callers are listened for on."""
        return self._callers.port

    def start(self) -> None:
        """Listen, and let the core set its first timers."""
        self._peers.start()
        self._callers.start()
        self._log("Started", listen=self.settings.node.listen)
        self.feed(TimerTick())

    def install_signals(self) -> None:
        """Turn SIGTERM and SIGINT into requests to shut down."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._take_signal)

    def feed(self, event: Event) -> None:
        """Give the core an event and carry out what follows from it.

        :param event: The event.
        """
        self._driver.feed(event)

    def _knows_profile(self, name: str) -> bool:
        return self.core.state.configuration.find_profile(name) is not None

    def _build_links(self) -> None:
        settings = self.settings
        platform = settings.platform
        self._callers = HttpCallerLink(
            reactor=self._reactor,
            listen=settings.node.listen,
            body_limit_bytes=settings.limits.body_bytes,
            head_s=settings.limits.head_s,
            report=self.feed,
            record_answer=self.metrics.observe_answer,
            read_status=self._read_status,
            read_configuration=lambda: self.core.state.configuration.document,
            read_metrics=self._read_metrics,
        )
        self._backends = HttpBackendLink(
            reactor=self._reactor, report=self.feed
        )
        self._store = HttpStoreLink(
            reactor=self._reactor,
            url=platform.store,
            timeout_s=platform.store_timeout_s,
            report=self.feed,
        )
        self._vm_list = HttpVmListLink(
            reactor=self._reactor,
            url=platform.vm_list,
            timeout_s=platform.store_timeout_s,
            report=self.feed,
        )
        self._peers = NngPeerLink(
            reactor=self._reactor,
            name=settings.node.name,
            listen=settings.node.peer_listen,
            report=self.feed,
            clock_skew_s=settings.limits.clock_skew_s,
        )

    def _list_actions(self) -> dict[type, Callable[[Any], None]]:
        return {
            SendLeg: self._send_leg,
            CancelLeg: self._cancel_leg,
            AnswerCaller: self._answer_caller,
            PollServer: self._backends.poll_server,
            SetConnectionShare: self._backends.set_share,
            ReadVmList: lambda command: self._vm_list.read_vm_list(),
            ReadKey: self._read_key,
            WriteKey: self._write_key,
            WatchKey: self._watch_key,
            SendPeerMessage: self._send_peer,
            ReportHealth: self._report_health,
            StopProcess: lambda command: self._stop(),
            LogDecision: self._log_decision,
        }

    def _note_event(self, event: Event) -> None:
        self.metrics.count_event(event)
        self._follow_caller(event)
        if isinstance(event, PeerMessageDropped):
            self._log("Dropped a peer message", reason=event.reason)

    def _follow_caller(self, event: Event) -> None:
        if isinstance(event, QueryArrived):
            self._in_flight.add(event.caller)
        if isinstance(event, CallerDisconnected):
            self._in_flight.discard(event.caller)

    def _take_signal(self, number: int, frame: Any) -> None:
        self._reactor.callFromThread(self.feed, ShutdownRequested())

    def _send_leg(self, command: SendLeg) -> None:
        self.metrics.count_leg(command)
        self._backends.send_leg(command)

    def _cancel_leg(self, command: CancelLeg) -> None:
        self.metrics.count_cancelled()
        self._backends.cancel_leg(command)

    def _answer_caller(self, command: AnswerCaller) -> None:
        self._in_flight.discard(command.caller)
        self._callers.answer(caller=command.caller, answer=command.answer)

    def _read_key(self, command: ReadKey) -> None:
        self.metrics.count_store_call("read")
        self._store.read_key(command)

    def _write_key(self, command: WriteKey) -> None:
        self.metrics.count_store_call("write")
        self._store.write_key(command)

    def _watch_key(self, command: WatchKey) -> None:
        self.metrics.count_store_call("watch")
        self._store.watch_key(command)

    def _send_peer(self, command: SendPeerMessage) -> None:
        self.metrics.count_peer_message()
        self._peers.send_peer(command)

    def _report_health(self, command: ReportHealth) -> None:
        self._healthy = command.healthy
        self._callers.report_health(healthy=command.healthy)

    def _log_decision(self, command: LogDecision) -> None:
        if self.settings.log.decisions:
            log_decision(command)

    def _stop(self) -> None:
        if self._stopping:
            return
        self._stopping = True
        self._driver.stop()
        self._log("Stopping")
        flushed = self._callers.stop()
        flushed.addTimeout(FLUSH_LIMIT_S, self._reactor)
        flushed.addBoth(lambda _: self._close())

    def _close(self) -> None:
        self._peers.stop()
        closed = gatherResults(
            [self._backends.stop(), self._store.stop(), self._vm_list.stop()]
        )
        closed.addTimeout(FLUSH_LIMIT_S, self._reactor)
        closed.addBoth(lambda _: self.stopped.callback(None))

    def _read_status(self) -> Any:
        return build_status(
            self.core.state, healthy=self._healthy, now=self._clock.read()
        )

    def _read_metrics(self) -> CollectorRegistry:
        self.metrics.set_gauges(
            in_flight=len(self._in_flight),
            revision=self.core.state.configuration.revision,
        )
        return self.metrics.registry

    def _log(self, sentence: str, **fields: Any) -> None:
        structlog.get_logger().info(sentence, part="daemon", **fields)
