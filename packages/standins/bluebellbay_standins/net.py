"""Listening on ``host:port`` addresses."""

from typing import Any
from typing import Protocol

from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred

from bluebellbay_standins.clock import Clock

LISTEN_BACKLOG = 512


class Port(Protocol):
    """A listening port."""

    def getHost(self) -> IPv4Address:  # noqa: N802
        """Tell the address that it listens on."""

    def stopListening(self) -> Deferred[None] | None:  # noqa: N802
        """Close the port."""


class Reactor(Clock, Protocol):
    """A reactor that keeps time and opens ports."""

    def listenTCP(  # noqa: N802
        self, port: int, factory: Any, backlog: int = 50, interface: str = ""
    ) -> Port:
        """Open a port."""

    def run(self) -> None:
        """Run until told to stop."""


def split_address(address: str) -> tuple[str, int]:
    """Split an address.

    :param address: ``host:port``.
    :returns: Host and port.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def format_address(port: Port) -> str:
    """Name the address that a port listens on.

    :param port: The listening port.
    :returns: ``host:port``.
    """
    address = port.getHost()
    return f"{address.host}:{address.port}"


def listen(reactor: Reactor, address: str, factory: Any) -> Port:
    """Listen on an address.

    :param reactor: Opens the port.
    :param address: ``host:port``; port 0 for any.
    :param factory: Serves the connections.
    :returns: The listening port.
    """
    host, port = split_address(address)
    return reactor.listenTCP(
        port, factory, backlog=LISTEN_BACKLOG, interface=host
    )
