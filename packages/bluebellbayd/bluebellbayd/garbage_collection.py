"""Keeps full garbage collections short."""

from collections.abc import Callable
import gc
from typing import Any

# What a node builds when it reads a configuration and all replicas is there
# by then.
FREEZE_DELAY_S = 2.0


class HeapFreezer:
    """Exempts what a node keeps for long from garbage collection.

    A full collection visits each object that is not exempt and stops the
    process meanwhile. With many replicas and routes that takes a large part of
    the latency objective of a query. Reference counts still free exempt
    objects; only cycles among them that become garbage later are kept.

    :param reactor: Twisted reactor.
    :param freeze: Exempts all objects that exist; ``gc.freeze`` by default.
    """

    def __init__(
        self, *, reactor: Any, freeze: Callable[[], None] = gc.freeze
    ) -> None:
        self._reactor = reactor
        self._freeze = freeze
        self._pending: Any = None

    def schedule(self) -> None:
        """Exempt in ``FREEZE_DELAY_S`` what exists then.

        Nothing changes if that is scheduled already.
        """
        if self._pending is None:
            self._pending = self._reactor.callLater(
                FREEZE_DELAY_S, self._run_freeze
            )

    def stop(self) -> None:
        """Cancel what is scheduled."""
        if self._pending is not None:
            self._pending.cancel()
            self._pending = None

    def _run_freeze(self) -> None:
        self._pending = None
        self._freeze()
