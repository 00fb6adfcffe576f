"""Ports on which a routing node listens."""

from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet.error import CannotListenError

from bluebellbay.transport._address import parse_address
from bluebellbayd.http_pages import Page
from bluebellbayd.http_pages import PageFactory


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListenAddresses:
    """Addresses on which a routing node listens, each as ``host:port``.

    :param callers: For requests of callers.
    :param health: For the balancer's health checks.
    :param metrics: For the metrics collector.
    :param peers: For requests that other nodes delegate to this one.
    """

    callers: str
    health: str
    metrics: str
    peers: str


class ListenFailed(Exception):
    """An address can't be listened on, as when another process does.

    :param address: The address, as ``host:port``.
    :param reason: The error of the system.
    """

    def __init__(self, *, address: str, reason: str) -> None:
        super().__init__(f"{address}: {reason}")
        self.address = address
        self.reason = reason


def listen_on(address: str, listen: Callable[[], Any]) -> Any:
    """Listen on an address.

    :param address: The address, as ``host:port``.
    :param listen: Listens on it.
    :returns: What ``listen`` returns.
    :raises ListenFailed: If the system refuses it.
    """
    try:
        return listen()
    except CannotListenError as error:
        reason = str(error.socketError)
        raise ListenFailed(address=address, reason=reason) from error
    except OSError as error:
        # Two programs that start at once may both bind a port; listening then
        # fails for one of them, which Twisted reports as it is.
        raise ListenFailed(address=address, reason=str(error)) from error


def listen_http(reactor: Any, address: str, page: Page) -> Any:
    """Serve a page on an address.

    :param reactor: The Twisted reactor.
    :param address: The address, as ``host:port``.
    :param page: The page.
    :returns: Twisted's port.
    :raises ListenFailed: If the system refuses the address.
    """
    target = parse_address(address)
    factory = PageFactory(page=page)
    return listen_on(
        address,
        lambda: reactor.listenTCP(target.port, factory, interface=target.host),
    )
