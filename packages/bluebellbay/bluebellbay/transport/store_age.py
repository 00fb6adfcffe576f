"""Holds when the store last confirmed what a node knows of it.

An answer of the store itself shows all that it had accepted when the call was
made. So what a node knows ages from the call of the last such answer on, by
its own clock, whatever has failed since. A copy of the store may be seconds
old, and confirms nothing.
"""

from collections.abc import Callable
import math
from typing import Any

from bluebellbay.protocol.registry import StoreConfirmed

ConfirmationHandler = Callable[[StoreConfirmed], None]


class StoreAge:
    """Tells how old a node's knowledge of the store is.

    While a listing is read, what it has not read yet is older than the
    changes since; the last page makes all of them known.

    :param reactor: Twisted reactor.
    :param report: Called with each confirmation that counts.
    """

    def __init__(self, *, reactor: Any, report: ConfirmationHandler) -> None:
        self._reactor = reactor
        self._report = report
        self._confirmed_at = -math.inf
        self._is_listing = False

    def measure(self) -> float:
        """Measure the age of what is known.

        :returns: Seconds; infinite if nothing is known.
        """
        return float(self._reactor.seconds()) - self._confirmed_at

    def begin_listing(self) -> None:
        """Report no confirmation until the listing has ended."""
        self._is_listing = True

    def end_listing(self) -> None:
        """Report what was confirmed during the listing."""
        self._is_listing = False
        self._report(StoreConfirmed(confirmed_at=self._confirmed_at))

    def confirm(self, at: float) -> None:
        """Note that all is known that the store had accepted by some time.

        :param at: The time in seconds, of the reactor's clock.
        """
        self._confirmed_at = max(self._confirmed_at, at)
        if not self._is_listing:
            self._report(StoreConfirmed(confirmed_at=self._confirmed_at))
