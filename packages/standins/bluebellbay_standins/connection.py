"""Connections that are limited in number and cost time to open."""

from collections.abc import Callable

from twisted.internet.interfaces import IAddress
from twisted.internet.interfaces import ITransport
from twisted.internet.protocol import connectionDone
from twisted.protocols.policies import ProtocolWrapper
from twisted.protocols.policies import WrappingFactory
from twisted.python.failure import Failure
from twisted.web.server import Site

from bluebellbay_standins.behaviour import BackendBehaviour
from bluebellbay_standins.behaviour import BackendCounts
from bluebellbay_standins.clock import Clock
from bluebellbay_standins.clock import TimedCall

MS_PER_S = 1000


class CostlyConnection(ProtocolWrapper):
    """Holds back what arrives until the connection's cost is paid."""

    factory: "LimitedFactory"

    def makeConnection(self, transport: ITransport) -> None:  # noqa: N802
        """Take the transport and begin to pay the cost."""
        self._held: list[bytes] = []
        self._opening: TimedCall | None = None
        super().makeConnection(transport)
        cost_s = self.factory.read_behaviour().connect_ms / MS_PER_S
        if cost_s > 0:
            self._opening = self.factory.clock.callLater(cost_s, self._open)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes on, or hold them."""
        if self._opening is not None:
            self._held.append(data)
            return
        super().dataReceived(data)

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        """Forget what was held."""
        if self._opening is not None:
            self._opening.cancel()
            self._opening = None
        super().connectionLost(reason)

    def _open(self) -> None:
        self._opening = None
        held, self._held = self._held, []
        if held:
            super().dataReceived(b"".join(held))


class LimitedFactory(WrappingFactory):
    """Closes connections beyond a limit at once, and counts them.

    :param wrapped: The factory that serves the connections.
    :param clock: Source of time.
    :param read_behaviour: Tells the limit and the cost in force.
    :param counts: Where connections are counted.
    """

    protocol = CostlyConnection

    def __init__(
        self,
        *,
        wrapped: Site,
        clock: Clock,
        read_behaviour: Callable[[], BackendBehaviour],
        counts: BackendCounts,
    ) -> None:
        super().__init__(wrapped)
        self.clock = clock
        self.read_behaviour = read_behaviour
        self._counts = counts

    def buildProtocol(  # type: ignore[override]  # noqa: N802
        self, addr: IAddress | None
    ) -> ProtocolWrapper | None:
        """Accept a connection, or close it beyond the limit."""
        counts = self._counts
        if counts.connections >= self.read_behaviour().connection_limit:
            counts.connections_refused += 1
            return None
        counts.connections += 1
        counts.connections_made += 1
        counts.most_connections = max(
            counts.most_connections, counts.connections
        )
        return super().buildProtocol(addr)

    def unregisterProtocol(self, p: ProtocolWrapper) -> None:  # noqa: N802
        """Count a connection's end."""
        super().unregisterProtocol(p)
        self._counts.connections -= 1

    def abort_connections(self) -> None:
        """Break every connection."""
        for connection in tuple(self.protocols):
            connection.abortConnection()
