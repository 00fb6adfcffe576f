"""Addresses of the form ``host:port``."""

import dataclasses
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import TCP6ClientEndpoint


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SocketAddress:
    """A host and a port.

    :param host: IP number, without brackets.
    :param port: TCP port.
    """

    host: str
    port: int


def parse_address(text: str) -> SocketAddress:
    """Read an address.

    :param text: ``host:port``; an IPv6 host stands in brackets.
    :returns: The address.
    :raises ValueError: If the port is not a number.
    """
    host, _, port = text.rpartition(":")
    return SocketAddress(host=host.strip("[]"), port=int(port))


def build_endpoint(reactor: object, *, address: str, timeout_s: float) -> Any:
    """Build the endpoint that connects to an address.

    :param reactor: The reactor.
    :param address: ``host:port``.
    :param timeout_s: Time in seconds until an attempt to connect fails.
    :returns: The endpoint.
    """
    target = parse_address(address)
    kind = TCP6ClientEndpoint if ":" in target.host else TCP4ClientEndpoint
    return kind(reactor, target.host, target.port, timeout=timeout_s)
