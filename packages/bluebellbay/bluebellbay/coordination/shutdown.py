"""Life cycle of a node, from start-up to the end of a graceful shutdown."""

from collections.abc import Iterable
from typing import Protocol

from automat import TypeMachineBuilder

from bluebellbay.coordination.part import Output
from bluebellbay.coordination.part import Part
from bluebellbay.coordination.queries.snapshot import build_plan
from bluebellbay.protocol.event import AdmissionClosed
from bluebellbay.protocol.event import ConfigurationChanged
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import QueriesDrained
from bluebellbay.protocol.event import ServerPolled
from bluebellbay.protocol.event import SharesClosed
from bluebellbay.protocol.event import SharesReleased
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.process import ReportHealth
from bluebellbay.protocol.process import ShutdownRequested
from bluebellbay.protocol.process import StopProcess
from bluebellbay.protocol.process import TimerTick
from bluebellbay.state.holding import HoldingTable
from bluebellbay.state.node import NodeState

PART = "shutdown"
# The node reports healthy after this time even if servers are missing: a
# refused query tells its caller more than a node that never becomes healthy.
READINESS_TIMEOUT_S = 10.0


class _Inputs(Protocol):
    def become_ready(self, now: float) -> None:
        """The node is ready, or its readiness timeout has passed."""

    def request_shutdown(self, now: float) -> None:
        """The process was asked to terminate."""

    def end_balancer_lag(self, now: float) -> None:
        """The load balancer has had time to stop sending requests."""

    def finish_draining(self, now: float) -> None:
        """No request is in flight any longer."""

    def finish_closing(self, now: float) -> None:
        """All connections to backend servers are closed."""

    def reach_limit(self, now: float) -> None:
        """The time limit for the whole shutdown has passed."""


class ShutdownPart(Part):
    """State machine of a node's start-up and graceful shutdown.

    At start-up the node reports healthy to the load balancer once a
    configuration is in force and each index has a snapshot whose whole key
    space is held by servers with connections; earlier it could only refuse
    requests. It waits for servers at most ``READINESS_TIMEOUT_S`` after the
    first configuration.

    On shutdown the node reports unhealthy, waits for the balancer's lag,
    closes admission, drains requests, closes its connections to backend
    servers, and stops the process. A further shutdown request changes
    nothing; only the shutdown limit ends the sequence early.

    :param state: State of the node, shared by all its parts.
    """

    def __init__(self, *, state: NodeState) -> None:
        super().__init__(state=state)
        self.balancer_lag_ends_at: float | None = None
        self.limit_ends_at: float | None = None
        self.outputs: list[Output] = []
        self._readiness_deadline: float | None = None
        self._has_configuration = False
        self._machine = _build_machine(self)

    @property
    def event_types(self) -> tuple[type, ...]:
        """The event types that this part subscribes to."""
        return (
            ConfigurationChanged,
            ServerPolled,
            ShutdownRequested,
            QueriesDrained,
            SharesClosed,
            TimerTick,
        )

    def step(self, event: Event, now: float) -> Iterable[Output]:
        """Process one event.

        :param event: An event of one of the types in :attr:`event_types`.
        :param now: Current Unix time in seconds.
        :returns: Commands for the transports and internal events for other
            parts, in the order of their execution.
        """
        match event:
            case ConfigurationChanged():
                self._start_readiness_check(now)
            case ServerPolled():
                self._check_readiness(now)
            case ShutdownRequested():
                self._machine.request_shutdown(now)
            case QueriesDrained():
                self._machine.finish_draining(now)
            case SharesClosed():
                self._machine.finish_closing(now)
            case TimerTick():
                self._run_timers(now)
        outputs, self.outputs = self.outputs, []
        return outputs

    def get_wakeup_time(self) -> float | None:
        """Return when the next ``TimerTick`` event is due.

        :returns: Unix time in seconds, or ``None`` if no timer is set.
        """
        times = (
            self._readiness_deadline,
            self.balancer_lag_ends_at,
            self.limit_ends_at,
        )
        return min((at for at in times if at is not None), default=None)

    def _start_readiness_check(self, now: float) -> None:
        if self._has_configuration:
            return
        self._has_configuration = True
        self._readiness_deadline = now + READINESS_TIMEOUT_S
        self._check_readiness(now)

    def _check_readiness(self, now: float) -> None:
        if self._readiness_deadline is None:
            return
        if now < self._readiness_deadline and not _is_every_index_covered(
            self.state
        ):
            return
        self._readiness_deadline = None
        self._machine.become_ready(now)

    def _run_timers(self, now: float) -> None:
        self._check_readiness(now)
        if (
            self.balancer_lag_ends_at is not None
            and now >= self.balancer_lag_ends_at
        ):
            self.balancer_lag_ends_at = None
            self._machine.end_balancer_lag(now)
        if self.limit_ends_at is not None and now >= self.limit_ends_at:
            self._machine.reach_limit(now)


def _is_every_index_covered(state: NodeState) -> bool:
    return all(
        _has_complete_snapshot(state, holdings)
        for holdings in state.servers.holdings.values()
    )


def _has_complete_snapshot(state: NodeState, holdings: HoldingTable) -> bool:
    for snapshot in holdings.list_snapshots():
        ranges = [
            held
            for held in holdings.list_ranges(snapshot)
            if _has_connections(state, held.server)
        ]
        if build_plan(snapshot, ranges).is_complete:
            return True
    return False


def _has_connections(state: NodeState, server: str) -> bool:
    record = state.servers.servers.get(server)
    return record is not None and record.connection_share > 0


def _log(part: ShutdownPart, sentence: str) -> None:
    part.outputs.append(LogDecision(part=PART, sentence=sentence))


def _start_serving(inputs: _Inputs, part: ShutdownPart, now: float) -> None:
    part.outputs.append(ReportHealth(healthy=True))
    _log(part, "Ready to serve; reporting healthy to the load balancer.")


def _start_leaving(inputs: _Inputs, part: ShutdownPart, now: float) -> None:
    settings = part.state.settings.shutdown
    part.balancer_lag_ends_at = now + settings.balancer_lag_s
    part.limit_ends_at = now + settings.limit_s
    part.outputs.append(ReportHealth(healthy=False))
    _log(part, "Shutdown requested; reporting unhealthy to the load balancer.")


def _close_admission(inputs: _Inputs, part: ShutdownPart, now: float) -> None:
    _log(part, "Balancer lag elapsed; closed admission, draining requests.")
    part.outputs.append(AdmissionClosed())


def _release_shares(inputs: _Inputs, part: ShutdownPart, now: float) -> None:
    _log(part, "All requests drained; closing connections to backend servers.")
    part.outputs.append(SharesReleased())


def _stop_process(inputs: _Inputs, part: ShutdownPart, now: float) -> None:
    part.balancer_lag_ends_at = None
    part.limit_ends_at = None
    _log(
        part,
        "Shutdown complete or its time limit reached; stopping the process.",
    )
    part.outputs.append(StopProcess())


def _make_builder() -> TypeMachineBuilder[_Inputs, ShutdownPart]:
    builder = TypeMachineBuilder(_Inputs, ShutdownPart)
    starting = builder.state("starting")
    serving = builder.state("serving")
    leaving = builder.state("leaving")
    draining = builder.state("draining")
    closing = builder.state("closing")
    stopped = builder.state("stopped")
    starting.upon(_Inputs.become_ready).to(serving)(_start_serving)
    for state in (starting, serving):
        state.upon(_Inputs.request_shutdown).to(leaving)(_start_leaving)
    leaving.upon(_Inputs.end_balancer_lag).to(draining)(_close_admission)
    draining.upon(_Inputs.finish_draining).to(closing)(_release_shares)
    closing.upon(_Inputs.finish_closing).to(stopped)(_stop_process)
    for state in (leaving, draining, closing):
        state.upon(_Inputs.reach_limit).to(stopped)(_stop_process)
    for state in (leaving, draining, closing, stopped):
        state.upon(_Inputs.request_shutdown).loop().returns(None)
    for state in (serving, leaving, draining, closing, stopped):
        state.upon(_Inputs.become_ready).loop().returns(None)
    for state in (starting, serving, leaving, closing, stopped):
        state.upon(_Inputs.finish_draining).loop().returns(None)
    for state in (starting, serving, leaving, draining, stopped):
        state.upon(_Inputs.finish_closing).loop().returns(None)
    return builder


_build_machine = _make_builder().build()
