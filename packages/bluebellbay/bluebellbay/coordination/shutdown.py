"""Leads a node from its start to the end of its graceful shutdown."""

from collections.abc import Iterable
from typing import Protocol

from automat import TypeMachineBuilder

from bluebellbay.coordination.part import Part
from bluebellbay.coordination.part import Step
from bluebellbay.coordination.queries.snapshot import build_plan
from bluebellbay.protocol.command import LogDecision
from bluebellbay.protocol.command import ReportHealth
from bluebellbay.protocol.command import StopProcess
from bluebellbay.protocol.event import AdmissionClosed
from bluebellbay.protocol.event import ConfigurationChanged
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import QueriesDrained
from bluebellbay.protocol.event import ServerPolled
from bluebellbay.protocol.event import SharesClosed
from bluebellbay.protocol.event import SharesGivenUp
from bluebellbay.protocol.event import ShutdownRequested
from bluebellbay.protocol.event import TimePassed
from bluebellbay.state.holding import HoldingTable
from bluebellbay.state.node import NodeState

PART = "shutdown"
# Queries that come later are refused, which tells their callers more than a
# node that never becomes healthy.
SERVERS_WAIT_S = 10.0


class _Inputs(Protocol):
    def configure(self, now: float) -> None:
        """A configuration is in force."""

    def request(self, now: float) -> None:
        """The process was asked to end."""

    def pass_lag(self, now: float) -> None:
        """The balancer sends nothing more."""

    def drain(self, now: float) -> None:
        """No request is in flight any more."""

    def close(self, now: float) -> None:
        """No connection to a backend server is open any more."""

    def pass_limit(self, now: float) -> None:
        """The longest time for all of it is over."""


class ShutdownPart(Part):
    """Waits for the balancer, closes admission, drains, and then stops.

    The balancer is sent for only once a configuration is in force and servers
    can be asked for every index, as the node could but refuse what it sends
    before that. Servers that can't be had are not waited for long.

    A second request changes nothing; only the limit ends it early.

    :param state: The node's shared state.
    """

    def __init__(self, *, state: NodeState) -> None:
        super().__init__(state=state)
        self.lag_ends_at: float | None = None
        self.limit_at: float | None = None
        self.steps: list[Step] = []
        self._ready_at: float | None = None
        self._configured = False
        self._machine = _build_machine(self)

    @property
    def handles(self) -> tuple[type, ...]:
        """The kinds of event that the part wants to be told."""
        return (
            ConfigurationChanged,
            ServerPolled,
            ShutdownRequested,
            QueriesDrained,
            SharesClosed,
            TimePassed,
        )

    def step(self, event: Event, now: float) -> Iterable[Step]:
        """Take one event.

        :param event: The event.
        :param now: Present time in seconds, Unix time.
        :returns: Commands and internal events, in order.
        """
        match event:
            case ConfigurationChanged():
                self._take_configuration(now)
            case ServerPolled():
                self._look_for_servers(now)
            case ShutdownRequested():
                self._machine.request(now)
            case QueriesDrained():
                self._machine.drain(now)
            case SharesClosed():
                self._machine.close(now)
            case TimePassed():
                self._run_timers(now)
        steps, self.steps = self.steps, []
        return steps

    def next_wake(self) -> float | None:
        """Name the time at which ``TimePassed`` is due.

        :returns: Time in seconds, or none if no timer is set.
        """
        if self._ready_at is not None:
            return self._ready_at
        if self.lag_ends_at is not None:
            return self.lag_ends_at
        return self.limit_at

    def _take_configuration(self, now: float) -> None:
        if self._configured:
            return
        self._configured = True
        self._ready_at = now + SERVERS_WAIT_S
        self._look_for_servers(now)

    def _look_for_servers(self, now: float) -> None:
        if self._ready_at is None:
            return
        if now < self._ready_at and not _can_serve(self.state):
            return
        self._ready_at = None
        self._machine.configure(now)

    def _run_timers(self, now: float) -> None:
        self._look_for_servers(now)
        if self.lag_ends_at is not None and now >= self.lag_ends_at:
            self.lag_ends_at = None
            self._machine.pass_lag(now)
        if self.limit_at is not None and now >= self.limit_at:
            self._machine.pass_limit(now)


def _can_serve(state: NodeState) -> bool:
    return all(
        _has_whole_snapshot(state, holdings)
        for holdings in state.servers.holdings.values()
    )


def _has_whole_snapshot(state: NodeState, holdings: HoldingTable) -> bool:
    for snapshot in holdings.list_snapshots():
        ranges = [
            held
            for held in holdings.list_ranges(snapshot)
            if _can_ask(state, held.server)
        ]
        if build_plan(snapshot, ranges).is_complete:
            return True
    return False


def _can_ask(state: NodeState, server: str) -> bool:
    record = state.servers.servers.get(server)
    return record is not None and record.connection_share > 0


def _log(part: ShutdownPart, sentence: str) -> None:
    part.steps.append(LogDecision(part=PART, sentence=sentence))


def _do_serve(inputs: _Inputs, part: ShutdownPart, now: float) -> None:
    part.steps.append(ReportHealth(healthy=True))
    _log(part, "Serving.")


def _do_leave(inputs: _Inputs, part: ShutdownPart, now: float) -> None:
    settings = part.state.settings.shutdown
    part.lag_ends_at = now + settings.balancer_lag_s
    part.limit_at = now + settings.limit_s
    part.steps.append(ReportHealth(healthy=False))
    _log(part, "Leaving.")


def _do_close_admission(
    inputs: _Inputs, part: ShutdownPart, now: float
) -> None:
    _log(part, "Admission closed.")
    part.steps.append(AdmissionClosed())


def _do_give_up_shares(
    inputs: _Inputs, part: ShutdownPart, now: float
) -> None:
    _log(part, "Drained.")
    part.steps.append(SharesGivenUp())


def _do_stop(inputs: _Inputs, part: ShutdownPart, now: float) -> None:
    part.lag_ends_at = None
    part.limit_at = None
    _log(part, "Stopped.")
    part.steps.append(StopProcess())


def _make_builder() -> TypeMachineBuilder[_Inputs, ShutdownPart]:
    builder = TypeMachineBuilder(_Inputs, ShutdownPart)
    starting = builder.state("starting")
    serving = builder.state("serving")
    leaving = builder.state("leaving")
    draining = builder.state("draining")
    closing = builder.state("closing")
    over = builder.state("over")
    starting.upon(_Inputs.configure).to(serving)(_do_serve)
    for state in (starting, serving):
        state.upon(_Inputs.request).to(leaving)(_do_leave)
    leaving.upon(_Inputs.pass_lag).to(draining)(_do_close_admission)
    draining.upon(_Inputs.drain).to(closing)(_do_give_up_shares)
    closing.upon(_Inputs.close).to(over)(_do_stop)
    for state in (leaving, draining, closing):
        state.upon(_Inputs.pass_limit).to(over)(_do_stop)
    for state in (leaving, draining, closing, over):
        state.upon(_Inputs.request).loop().returns(None)
    for state in (serving, leaving, draining, closing, over):
        state.upon(_Inputs.configure).loop().returns(None)
    for state in (starting, serving, leaving, closing, over):
        state.upon(_Inputs.drain).loop().returns(None)
    for state in (starting, serving, leaving, draining, over):
        state.upon(_Inputs.close).loop().returns(None)
    return builder


_build_machine = _make_builder().build()
