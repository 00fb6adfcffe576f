"""The part of a reactor that keeps time."""

from collections.abc import Callable
from typing import Any
from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater


class TimedCall(Protocol):
    """A call that is due at some time."""

    def active(self) -> bool:
        """Tell whether the call is still due."""

    def cancel(self) -> None:
        """Take the call back."""


class Clock(Protocol):
    """Tells the time and calls at a time."""

    def seconds(self) -> float:
        """Tell the present time in seconds, Unix time."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: Any
    ) -> TimedCall:
        """Call after a delay in seconds."""


def sleep(clock: Clock, delay_s: float) -> Deferred[None]:
    """Wait.

    :param clock: Source of time.
    :param delay_s: Time in seconds.
    :returns: Fires after that time.
    """
    return deferLater(clock, delay_s)  # type: ignore[arg-type]
