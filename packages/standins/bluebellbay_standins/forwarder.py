"""A TCP forwarder whose links can be cut or stalled."""

import dataclasses
import enum
from typing import Any

from klein import Klein
from twisted.internet.endpoints import connectProtocol
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import connectionDone
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.server import Request

from bluebellbay.protocol.codec import decode_json
from bluebellbay_standins.net import format_address
from bluebellbay_standins.net import listen
from bluebellbay_standins.net import Reactor
from bluebellbay_standins.net import split_address
from bluebellbay_standins.site import read_body
from bluebellbay_standins.site import write_json

CONNECT_TIMEOUT_S = 5


class LinkMode(enum.StrEnum):
    """What a link does with one direction of its bytes."""

    PASS = "pass"
    DROP = "drop"
    HOLD = "hold"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LinkSpec:
    """One link.

    :param name: Name of the link.
    :param target: ``host:port`` that it leads to.
    :param address: ``host:port`` to listen on; empty for any port.
    """

    name: str
    target: str
    address: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LinkChange:
    """Body of a call that changes links.

    :param links: Names of the links.
    :param forth: What to do with bytes towards the target.
    :param back: What to do with bytes from the target.
    """

    links: tuple[str, ...]
    forth: LinkMode = LinkMode.PASS
    back: LinkMode = LinkMode.PASS


class _End(Protocol):
    """One end of a forwarded connection."""

    transport: Any

    def __init__(self, *, link: "Link", forth: bool) -> None:
        self._link = link
        self._forth = forth
        self._held: list[bytes] = []
        self.other: _End | None = None

    def connectionMade(self) -> None:  # noqa: N802
        self._link.ends.add(self)
        self.flush()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._held.append(data)
        self.flush()

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        self._link.ends.discard(self)
        if self.other is not None:
            self.other.end()

    def flush(self) -> None:
        """Pass on what is held, if the link passes this direction."""
        mode = self._link.read_mode(forth=self._forth)
        other = self.other
        if mode is not LinkMode.PASS or other is None:
            return
        if other.transport is None:
            return
        held, self._held = self._held, []
        other.transport.writeSequence(held)

    def end(self) -> None:
        """Close this end after what was written has left."""
        if self.transport is not None:
            self.transport.loseConnection()

    def abort(self) -> None:
        """Break this end."""
        if self.transport is not None:
            self.transport.abortConnection()


class Link(Factory):
    """A listening port that forwards to one target.

    :param spec: The link.
    :param reactor: Opens connections.
    """

    noisy = False

    def __init__(self, *, spec: LinkSpec, reactor: Reactor) -> None:
        self.ends: set[_End] = set()
        self._target = spec.target
        self._reactor = reactor
        self._forth = LinkMode.PASS
        self._back = LinkMode.PASS

    def read_mode(self, *, forth: bool) -> LinkMode:
        """Tell what the link does with a direction.

        :param forth: Whether the direction is towards the target.
        :returns: The mode.
        """
        return self._forth if forth else self._back

    def set_modes(self, *, forth: LinkMode, back: LinkMode) -> None:
        """Change what the link does; a drop breaks its connections.

        :param forth: Mode towards the target.
        :param back: Mode from the target.
        """
        self._forth = forth
        self._back = back
        for end in tuple(self.ends):
            if LinkMode.DROP in (forth, back):
                end.abort()
            else:
                end.flush()

    def buildProtocol(self, addr: IAddress | None) -> _End | None:  # noqa: N802
        """Accept a connection and open its other half."""
        if LinkMode.DROP in (self._forth, self._back):
            return None
        near = _End(link=self, forth=True)
        far = _End(link=self, forth=False)
        far.other = near
        host, port = split_address(self._target)
        endpoint = TCP4ClientEndpoint(
            self._reactor, host, port, timeout=CONNECT_TIMEOUT_S
        )

        def join(_: _End) -> None:
            near.other = far
            near.flush()
            if near not in self.ends:
                far.end()

        connectProtocol(endpoint, far).addCallbacks(
            join, lambda _: near.abort()
        )
        return near


class Forwarder:
    """Several links, changed over HTTP.

    :param specs: The links.
    :param reactor: Opens ports and connections.
    """

    app = Klein()

    def __init__(
        self, *, specs: tuple[LinkSpec, ...], reactor: Reactor
    ) -> None:
        self._specs = specs
        self._reactor = reactor
        self._links = {
            spec.name: Link(spec=spec, reactor=reactor) for spec in specs
        }

    def open(self) -> dict[str, str]:
        """Listen on every link's port.

        :returns: Addresses by name of the link.
        """
        return {
            spec.name: format_address(
                listen(self._reactor, spec.address, self._links[spec.name])
            )
            for spec in self._specs
        }

    @app.route("/control", methods=["POST"])
    def change_links(self, request: Request) -> bytes:
        """Change what links do."""
        body = decode_json(read_body(request), LinkChange)
        if body.is_error():
            return write_json(request, {"error": body.error.reason}, 400)
        change = body.ok
        missing = [name for name in change.links if name not in self._links]
        if missing:
            return write_json(request, {"error": f"unknown: {missing}"}, 404)
        for name in change.links:
            self._links[name].set_modes(forth=change.forth, back=change.back)
        return write_json(request, {})
