"""Event loop of a decision core."""

import collections
from collections.abc import Callable
import time
from typing import Any
from typing import TYPE_CHECKING

import structlog
from twisted.internet.base import DelayedCall

from bluebellbay.coordination.event_dispatcher import EventDispatcher
from bluebellbay.protocol.process import TimerTick

if TYPE_CHECKING:
    from bluebellbay.protocol.command import Command
    from bluebellbay.protocol.event import Event


class CoreDriver:
    """Passes events to a core one at a time and executes its commands.

    When the core's next timer is due, it is passed a ``TimerTick`` event.

    :param core: The decision core; performs no I/O.
    :param reactor: The Twisted reactor that schedules the timers.
    :param read_clock: Returns the core's time in seconds; never goes back.
    :param on_event: Called with each event before the core processes it.
    :param execute: Executes one command of the core. It may call ``feed``.
    :param observe_step_time: Called with the duration of each step of the
        core in seconds.
    :param on_event_failure: Called with an event on which the core raised an
        unexpected error; the error is logged.
    :param on_command_failure: Called with a command whose execution raised
        an unexpected error; the error is logged. It may call ``feed``.
    """

    def __init__(
        self,
        *,
        core: EventDispatcher,
        reactor: Any,
        read_clock: Callable[[], float],
        on_event: Callable[["Event"], None],
        execute: Callable[["Command"], None],
        observe_step_time: Callable[[float], None],
        on_event_failure: Callable[["Event"], None],
        on_command_failure: Callable[["Command"], None],
    ) -> None:
        self._core = core
        self._reactor = reactor
        self._read_clock = read_clock
        self._on_event = on_event
        self._execute = execute
        self._observe_step_time = observe_step_time
        self._on_event_failure = on_event_failure
        self._on_command_failure = on_command_failure
        self._events: collections.deque[Event] = collections.deque()
        self._processing = False
        self._stopped = False
        self._wakeup_call: DelayedCall | None = None
        self._wakeup_time = 0.0

    def feed(self, event: "Event") -> None:
        """Pass an event to the core and execute the resulting commands.

        An event that is fed while another one is processed is queued and
        processed before the outer call returns.

        :param event: The event.
        """
        self._events.append(event)
        if self._processing:
            return
        self._processing = True
        try:
            while self._events:
                self._handle_event(self._events.popleft())
        finally:
            self._processing = False
        self._schedule_wakeup()

    def stop(self) -> None:
        """Cancel the pending timer and schedule no more of them."""
        self._stopped = True
        if self._wakeup_call is not None and self._wakeup_call.active():
            self._wakeup_call.cancel()

    def _handle_event(self, event: "Event") -> None:
        self._on_event(event)
        for command in self._step_core(event):
            self._execute_safely(command)

    def _execute_safely(self, command: "Command") -> None:
        try:
            self._execute(command)
        except Exception:
            # A failure of one command must not stop the later ones.
            structlog.get_logger().exception(
                "Executing a command failed", command=command
            )
            self._on_command_failure(command)

    def _step_core(self, event: "Event") -> tuple["Command", ...]:
        started = time.perf_counter()
        try:
            return self._core.step(event, self._read_clock())
        except Exception:
            # A failure on one event must not stop the later ones.
            structlog.get_logger().exception(
                "Processing an event failed", event_=event
            )
            self._on_event_failure(event)
            return ()
        finally:
            self._observe_step_time(time.perf_counter() - started)

    def _schedule_wakeup(self) -> None:
        wakeup_time = self._core.get_wakeup_time()
        if wakeup_time is None or self._stopped:
            return
        pending = self._wakeup_call is not None and self._wakeup_call.active()
        if pending and self._wakeup_time <= wakeup_time:
            return
        if pending:
            assert self._wakeup_call is not None  # noqa: S101
            self._wakeup_call.cancel()
        delay_s = max(0.0, wakeup_time - self._read_clock())
        self._wakeup_time = wakeup_time
        self._wakeup_call = self._reactor.callLater(delay_s, self._on_wakeup)

    def _on_wakeup(self) -> None:
        self._wakeup_call = None
        self.feed(TimerTick())
