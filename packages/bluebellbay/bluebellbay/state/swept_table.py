"""A table whose idle entries are removed now and then."""

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

# Entries are swept for idle ones each time their number has doubled.
MIN_SWEPT_ENTRIES = 256

_Value = TypeVar("_Value")


class SweptTable(Generic[_Value]):
    """Values by name; those that are idle are dropped as the table grows.

    :param create: Builds the value of a new name.
    :param is_idle: Tells whether a value may be dropped at a time in seconds.
    """

    def __init__(
        self,
        *,
        create: Callable[[], _Value],
        is_idle: Callable[[_Value, float], bool],
    ) -> None:
        self._create = create
        self._is_idle = is_idle
        self._values: dict[str, _Value] = {}
        self._sweep_at = MIN_SWEPT_ENTRIES

    def find(self, name: str) -> _Value | None:
        """Look up a value.

        :param name: Its name.
        :returns: The value; ``None`` if there is none.
        """
        return self._values.get(name)

    def get(self, name: str, now: float) -> _Value:
        """Return a value, and create it if needed.

        :param name: Its name.
        :param now: Current time in seconds.
        """
        value = self._values.get(name)
        if value is None:
            if len(self._values) >= self._sweep_at:
                self._sweep(now)
            value = self._values[name] = self._create()
        return value

    def _sweep(self, now: float) -> None:
        self._values = {
            name: value
            for name, value in self._values.items()
            if not self._is_idle(value, now)
        }
        self._sweep_at = max(MIN_SWEPT_ENTRIES, 2 * len(self._values))
