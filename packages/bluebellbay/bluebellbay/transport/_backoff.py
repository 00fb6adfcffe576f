"""Pauses between tries of a call to the store."""

import random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8


class Backoff:
    """Doubles the pause after each failure, with a jitter of one half.

    :param reactor: Twisted reactor.
    :param rng: Source of the jitter.
    """

    def __init__(self, *, reactor: Any, rng: random.Random) -> None:
        self._reactor = reactor
        self._rng = rng
        self._next_delay_s = INITIAL_BACKOFF_S

    def reset(self) -> None:
        """Begin with the shortest pause again."""
        self._next_delay_s = INITIAL_BACKOFF_S

    def wait(self) -> Deferred[None]:
        """Pause.

        :returns: Fires after the pause.
        """
        seconds = self._next_delay_s * (0.5 + self._rng.random())
        self._next_delay_s = min(MAX_BACKOFF_S, 2 * self._next_delay_s)
        return deferLater(self._reactor, seconds)
