"""Requests that arrive before a started node knows its first configuration."""

import dataclasses

from bluebellbay.protocol.exchange import ExchangeOpened

# A store that can be reached answers a started node within this time.
STARTUP_S = 0.3


class StartupQueue:
    """Keeps callers' requests until they can be routed.

    Callers return to a restarted node at once, mostly to all nodes together.
    The configuration is there sooner than they could ask again. If it is not
    there ``STARTUP_S`` after the first request, requests are not kept.
    """

    def __init__(self) -> None:
        self._arrivals: dict[int, tuple[ExchangeOpened, float]] = {}
        self._ends_at: float | None = None

    def __len__(self) -> int:
        return len(self._arrivals)

    def get_end(self) -> float | None:
        """Return the Unix time in seconds when no request is kept longer.

        :returns: The time; none while no request is kept.
        """
        return self._ends_at if self._arrivals else None

    def add(self, event: ExchangeOpened, now: float) -> bool:
        """Keep a request if the node has just been started.

        :param event: Arrival of the request.
        :param now: Current Unix time in seconds.
        :returns: Whether it is kept. A query of a peer is not: the peer can
            send it to another node.
        """
        if self._ends_at is None:
            self._ends_at = now + STARTUP_S
        if now >= self._ends_at or event.request.delegation is not None:
            return False
        self._arrivals[event.exchange] = (event, now)
        return True

    def discard(self, exchange: int) -> None:
        """Drop a request whose caller has left.

        :param exchange: Number of its exchange; others are ignored.
        """
        self._arrivals.pop(exchange, None)

    def take_all(self, now: float) -> tuple[ExchangeOpened, ...]:
        """Remove and return all requests, in order of their arrival.

        :param now: Current Unix time in seconds.
        :returns: The arrivals, older by the time that they were kept.
        """
        arrivals = tuple(self._arrivals.values())
        self._arrivals.clear()
        return tuple(
            dataclasses.replace(event, age_s=event.age_s + now - arrived_at)
            for event, arrived_at in arrivals
        )
