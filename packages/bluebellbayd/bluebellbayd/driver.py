"""Feeds events to a decision core and carries out its commands."""

import collections
from collections.abc import Callable
import time
from typing import Any

import structlog
from twisted.internet.base import DelayedCall

from bluebellbay.coordination.event_dispatcher import EventDispatcher
from bluebellbay.protocol.command import Command
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import TimerTick


class CoreDriver:
    """Steps a core one event at a time, and wakes it when a timer is due.

    :param core: The core.
    :param reactor: The reactor.
    :param read_clock: Gives the core's time in seconds; never goes back.
    :param before: Told each event before the core is.
    :param carry_out: Carries out a command.
    :param observe: Told the seconds that each step of the core took.
    """

    def __init__(
        self,
        *,
        core: EventDispatcher,
        reactor: Any,
        read_clock: Callable[[], float],
        before: Callable[[Event], None],
        carry_out: Callable[[Command], None],
        observe: Callable[[float], None],
    ) -> None:
        self._core = core
        self._reactor = reactor
        self._read_clock = read_clock
        self._before = before
        self._carry_out = carry_out
        self._observe = observe
        self._events: collections.deque[Event] = collections.deque()
        self._stepping = False
        self._stopped = False
        self._wake: DelayedCall | None = None
        self._wake_at = 0.0

    def feed(self, event: Event) -> None:
        """Give the core an event and carry out what follows from it.

        :param event: The event.
        """
        self._events.append(event)
        if self._stepping:
            return
        self._stepping = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._stepping = False
        self._schedule_wake()

    def stop(self) -> None:
        """Wake the core no more."""
        self._stopped = True
        if self._wake is not None and self._wake.active():
            self._wake.cancel()

    def _step(self, event: Event) -> None:
        self._before(event)
        for command in self._ask_core(event):
            self._carry_out(command)

    def _ask_core(self, event: Event) -> tuple[Command, ...]:
        started = time.perf_counter()
        try:
            return self._core.step(event, self._read_clock())
        except Exception:
            # One event that can't be handled must not end the others.
            structlog.get_logger().exception("Event failed", event_=event)
            return ()
        finally:
            self._observe(time.perf_counter() - started)

    def _schedule_wake(self) -> None:
        wake_at = self._core.get_wakeup_time()
        if wake_at is None or self._stopped:
            return
        pending = self._wake is not None and self._wake.active()
        if pending and self._wake_at <= wake_at:
            return
        if pending:
            assert self._wake is not None  # noqa: S101
            self._wake.cancel()
        delay_s = max(0.0, wake_at - self._read_clock())
        self._wake_at = wake_at
        self._wake = self._reactor.callLater(delay_s, self._pass_time)

    def _pass_time(self) -> None:
        self._wake = None
        self.feed(TimerTick())
