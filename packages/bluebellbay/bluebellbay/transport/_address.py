"""Addresses of the form ``host:port``."""

import dataclasses
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import TCP6ClientEndpoint


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SocketAddress:
    """A host and a port.

    :param host: IP address, without brackets.
    :param port: TCP port.
    """

    host: str
    port: int


def parse_address(text: str) -> SocketAddress:
    """Parse ``host:port``.

    :param text: The address; an IPv6 host is enclosed in brackets.
    :returns: Host without brackets, and port.
    :raises ValueError: If the port is not a number.
    """
    host, _, port = text.rpartition(":")
    return SocketAddress(host=host.strip("[]"), port=int(port))


def build_endpoint(reactor: object, *, address: str, timeout_s: float) -> Any:
    """Build a TCP client endpoint for IPv4 or IPv6.

    :param reactor: Twisted reactor.
    :param address: ``host:port``.
    :param timeout_s: Connect time-out in seconds.
    :returns: The endpoint; it connects on request only.
    """
    target = parse_address(address)
    kind = TCP6ClientEndpoint if ":" in target.host else TCP4ClientEndpoint
    return kind(reactor, target.host, target.port, timeout=timeout_s)
