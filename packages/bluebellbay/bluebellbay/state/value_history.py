"""Values that were in force during the recent past."""

import collections
from collections.abc import Iterator
import math
from typing import Generic
from typing import TypeVar

_Value = TypeVar("_Value")


class ValueHistory(Generic[_Value]):
    """The value in force, and those that it has replaced.

    A node that takes over a role from another one must know under which
    values it held the role already, as the other node may still act by an
    older value.

    :param value: The first value.
    :param retention_s: Seconds for which a replaced value is kept.
    """

    def __init__(self, value: _Value, *, retention_s: float) -> None:
        self._current = value
        self._retention_s = retention_s
        # Each replaced value with the time in seconds of its replacement.
        self._former: collections.deque[tuple[float, _Value]] = (
            collections.deque()
        )

    @property
    def current(self) -> _Value:
        """The value in force."""
        return self._current

    def replace(self, value: _Value, now: float) -> None:
        """Put a value in force.

        :param value: The value; nothing changes if it is in force already.
        :param now: Current time in seconds.
        """
        if value == self._current:
            return
        self._former.append((now, self._current))
        self._current = value
        self._expire(now)

    def list_recent(self, now: float) -> Iterator[_Value]:
        """List the values in force at any time within the retention.

        :param now: Current time in seconds.
        :returns: The values; the one in force comes first.
        """
        self._expire(now)
        yield self._current
        for _, value in self._former:
            yield value

    def get_replacement_time(self) -> float:
        """Return the time in seconds of the last replacement.

        :returns: The time; minus infinity if there was none recently.
        """
        return self._former[-1][0] if self._former else -math.inf

    def _expire(self, now: float) -> None:
        earliest = now - self._retention_s
        while self._former and self._former[0][0] < earliest:
            self._former.popleft()
