"""Many backend servers in one process, and their control port."""

import dataclasses
import random
import zlib

from klein import Klein
from twisted.web.server import Request
from twisted.web.server import Site

from bluebellbay.protocol.codec import decode_json
from bluebellbay.protocol.leg import Holding
from bluebellbay_standins.backend import BackendServer
from bluebellbay_standins.behaviour import BackendBehaviour
from bluebellbay_standins.connection import LimitedFactory
from bluebellbay_standins.net import format_address
from bluebellbay_standins.net import listen
from bluebellbay_standins.net import Port
from bluebellbay_standins.net import Reactor
from bluebellbay_standins.site import merge_behaviour
from bluebellbay_standins.site import read_body
from bluebellbay_standins.site import write_json


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendSpec:
    """One backend server to host.

    :param name: Name of its VM.
    :param index: Index that it serves.
    :param service: Service that it belongs to.
    :param address: ``host:port`` to serve on; empty for any port.
    :param behaviour: What it is told to do at first.
    """

    name: str
    index: str
    service: str
    address: str = ""
    behaviour: BackendBehaviour = dataclasses.field(
        default_factory=BackendBehaviour
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Repartition:
    """Body of a call that changes several servers at one moment.

    :param holdings: The new holdings, by name of the server.
    """

    holdings: dict[str, tuple[Holding, ...]]


class HostedBackend:
    """A backend server and the port that it serves on.

    :param spec: The server.
    :param seed: Seed of its running times.
    :param reactor: Runs it.
    """

    def __init__(
        self, *, spec: BackendSpec, seed: int, reactor: Reactor
    ) -> None:
        self.address = spec.address
        self.server = BackendServer(
            name=spec.name,
            index=spec.index,
            service=spec.service,
            clock=reactor,
            rng=random.Random(seed ^ zlib.crc32(spec.name.encode())),
            behaviour=spec.behaviour,
        )
        self._reactor = reactor
        self._factory = LimitedFactory(
            wrapped=Site(self.server.app.resource()),
            clock=reactor,
            read_behaviour=lambda: self.server.behaviour,
            counts=self.server.counts,
        )
        self._port: Port | None = None

    async def apply(self, behaviour: BackendBehaviour) -> None:
        """Put a behaviour in force, and open or close the port for it.

        :param behaviour: The behaviour.
        """
        self.server.change_behaviour(behaviour)
        if behaviour.down:
            await self._close()
        else:
            self.open()

    def open(self) -> None:
        """Listen, unless it does already or is told to be down."""
        if self._port is not None or self.server.behaviour.down:
            return
        self._port = listen(self._reactor, self.address, self._factory)
        self.address = format_address(self._port)

    async def _close(self) -> None:
        if self._port is None:
            return
        port, self._port = self._port, None
        stopped = port.stopListening()
        self._factory.abort_connections()
        self.server.drop_runs()
        if stopped is not None:
            await stopped


class BackendHost:
    """Hosts backend servers and changes them over HTTP.

    :param specs: The servers.
    :param seed: Seed of their running times.
    :param reactor: Runs them.
    """

    app = Klein()

    def __init__(
        self, *, specs: tuple[BackendSpec, ...], seed: int, reactor: Reactor
    ) -> None:
        self._hosted = {
            spec.name: HostedBackend(spec=spec, seed=seed, reactor=reactor)
            for spec in specs
        }

    def open(self) -> dict[str, str]:
        """Listen on every server's port.

        :returns: Addresses by name of the server.
        """
        for hosted in self._hosted.values():
            hosted.open()
        return {name: item.address for name, item in self._hosted.items()}

    @app.route("/control", methods=["POST"])
    def repartition(self, request: Request) -> bytes:
        """Change the holdings of several servers at one moment."""
        body = decode_json(read_body(request), Repartition)
        if body.is_error():
            return write_json(request, {"error": body.error.reason}, 400)
        holdings = body.ok.holdings
        missing = sorted(holdings.keys() - self._hosted.keys())
        if missing:
            return write_json(request, {"error": f"unknown: {missing}"}, 404)
        for name, held in holdings.items():
            server = self._hosted[name].server
            server.change_behaviour(
                dataclasses.replace(server.behaviour, holdings=held)
            )
        return write_json(request, {})

    @app.route("/control/all", methods=["POST"])
    async def change_all(self, request: Request) -> bytes:
        """Change the fields that the body names at every server."""
        data = read_body(request)
        for hosted in self._hosted.values():
            merged = merge_behaviour(hosted.server.behaviour, data)
            if merged.is_error():
                return write_json(request, {"error": merged.error.reason}, 400)
            await hosted.apply(merged.ok)
        return write_json(request, {})

    @app.route("/control/counts", methods=["GET"])
    def report_all_counts(self, request: Request) -> bytes:
        """Report what every server has seen, by name."""
        return write_json(
            request,
            {name: item.server.counts for name, item in self._hosted.items()},
        )

    @app.route("/control/<name>", methods=["POST"])
    async def change_behaviour(self, request: Request, name: str) -> bytes:
        """Change the fields of one server's behaviour that the body names."""
        hosted = self._hosted.get(name)
        if hosted is None:
            return write_json(request, {"error": "no such server"}, 404)
        merged = merge_behaviour(hosted.server.behaviour, read_body(request))
        if merged.is_error():
            return write_json(request, {"error": merged.error.reason}, 400)
        await hosted.apply(merged.ok)
        return write_json(request, hosted.server.behaviour)

    @app.route("/control/<name>/counts", methods=["GET"])
    def report_counts(self, request: Request, name: str) -> bytes:
        """Report what one server has seen."""
        hosted = self._hosted.get(name)
        if hosted is None:
            return write_json(request, {"error": "no such server"}, 404)
        return write_json(request, hosted.server.counts)
