"""Leads a node through its graceful shutdown."""

from collections.abc import Iterator

from bluebellbay.coordination.part import Part
from bluebellbay.coordination.part import Step
from bluebellbay.protocol.command import LogDecision
from bluebellbay.protocol.command import ReportHealth
from bluebellbay.protocol.command import StopProcess
from bluebellbay.protocol.event import AdmissionClosed
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import QueriesDrained
from bluebellbay.protocol.event import ShutdownRequested
from bluebellbay.protocol.event import TimePassed
from bluebellbay.state.node import NodeState


class ShutdownPart(Part):
    """Waits for the balancer, closes admission, then stops once drained."""

    def __init__(self, *, state: NodeState) -> None:
        super().__init__(state=state)
        self._close_at: float | None = None
        self._stop_at: float | None = None

    @property
    def handles(self) -> tuple[type, ...]:
        """The kinds of event that the part wants to be told."""
        return (ShutdownRequested, QueriesDrained, TimePassed)

    def step(self, event: Event, now: float) -> Iterator[Step]:
        """Take one event.

        :param event: The event.
        :param now: Present time in seconds, Unix time.
        :returns: Commands and internal events, in order.
        """
        if isinstance(event, ShutdownRequested):
            yield from self._begin(now)
        elif isinstance(event, QueriesDrained):
            yield from self._stop("Drained.")
        elif isinstance(event, TimePassed):
            yield from self._run_timers(now)

    def next_wake(self) -> float | None:
        """Name the time at which ``TimePassed`` is due.

        :returns: Time in seconds, or none if no timer is set.
        """
        if self._close_at is not None:
            return self._close_at
        return self._stop_at

    def _begin(self, now: float) -> Iterator[Step]:
        if self._stop_at is not None:
            return
        settings = self.state.settings.shutdown
        self._close_at = now + settings.balancer_lag_s
        self._stop_at = now + settings.limit_s
        yield ReportHealth(healthy=False)
        yield LogDecision(part="shutdown", sentence="Leaving.")

    def _run_timers(self, now: float) -> Iterator[Step]:
        if self._close_at is not None and now >= self._close_at:
            self._close_at = None
            yield LogDecision(part="shutdown", sentence="Admission closed.")
            yield AdmissionClosed()
        if self._stop_at is not None and now >= self._stop_at:
            yield from self._stop("Limit reached.")

    def _stop(self, sentence: str) -> Iterator[Step]:
        if self._stop_at is None:
            return
        self._stop_at = None
        yield LogDecision(part="shutdown", sentence=sentence)
        yield StopProcess()
