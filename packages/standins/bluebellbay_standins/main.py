"""Hosts any combination of stand-ins in one process."""

import argparse
import dataclasses
import os
import pathlib
import sys
from typing import Any

from klein import Klein
import msgspec
from twisted.internet import reactor as global_reactor
from twisted.web.server import Site
import yaml

from bluebellbay.protocol.codec import encode_json
from bluebellbay_standins.backend_host import BackendHost
from bluebellbay_standins.backend_host import BackendSpec
from bluebellbay_standins.forwarder import Forwarder
from bluebellbay_standins.forwarder import LinkSpec
from bluebellbay_standins.net import format_address
from bluebellbay_standins.net import listen
from bluebellbay_standins.net import Reactor
from bluebellbay_standins.store import StoreBehaviour
from bluebellbay_standins.store import StoreServer
from bluebellbay_standins.vm_list import VmListBehaviour
from bluebellbay_standins.vm_list import VmListServer
from bluebellbay_standins.vm_list import VmListView


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreSpec:
    """The store to host.

    :param address: ``host:port`` to serve on; empty for any port.
    :param behaviour: What it is told to do at first.
    :param journal: File that keeps the keys over a restart; empty for none.
    """

    address: str = ""
    behaviour: StoreBehaviour = dataclasses.field(
        default_factory=StoreBehaviour
    )
    journal: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class VmListSpec:
    """The list of VMs to host.

    :param address: ``host:port`` to serve on; empty for any port.
    :param behaviour: What it is told to do at first.
    :param views: Names of views, each served on a port of its own.
    """

    address: str = ""
    behaviour: VmListBehaviour = dataclasses.field(
        default_factory=VmListBehaviour
    )
    views: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostSpec:
    """Everything that one process hosts.

    :param store: The store, if any.
    :param vm_list: The list of VMs, if any.
    :param backends: The backend servers.
    :param links: The forwarder's links.
    :param control: ``host:port`` of the backend servers' control.
    :param link_control: ``host:port`` of the links' control.
    :param seed: Seed of the backend servers' running times.
    :param host: IP number to listen on where no address is given.
    """

    store: StoreSpec | None = None
    vm_list: VmListSpec | None = None
    backends: tuple[BackendSpec, ...] = ()
    links: tuple[LinkSpec, ...] = ()
    control: str = ""
    link_control: str = ""
    seed: int = 1
    host: str = "127.0.0.1"


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostReport:
    """The addresses that a process serves on, each ``host:port``.

    :param store: The store's address; empty for none.
    :param vm_list: Address of the list of VMs; empty for none.
    :param views: Addresses of the list's views, by name.
    :param backends: Addresses of the backend servers, by name.
    :param links: Addresses of the links, by name.
    :param control: Address of the backend servers' control.
    :param link_control: Address of the links' control.
    """

    store: str = ""
    vm_list: str = ""
    views: dict[str, str] = dataclasses.field(default_factory=dict)
    backends: dict[str, str] = dataclasses.field(default_factory=dict)
    links: dict[str, str] = dataclasses.field(default_factory=dict)
    control: str = ""
    link_control: str = ""


def open_host(spec: HostSpec, reactor: Reactor) -> HostReport:
    """Start everything that one process hosts.

    :param spec: What to host.
    :param reactor: Runs it.
    :returns: The addresses got.
    """
    opener = _Opener(host=spec.host, reactor=reactor)
    report = HostReport()
    if spec.store is not None:
        report = opener.open_store(spec.store, report)
    if spec.vm_list is not None:
        report = opener.open_vm_list(spec.vm_list, report)
    if spec.backends:
        report = opener.open_backends(spec, report)
    if spec.links:
        report = opener.open_links(spec, report)
    return report


class _Opener:
    def __init__(self, *, host: str, reactor: Reactor) -> None:
        self._any_port = f"{host}:0"
        self._reactor = reactor

    def open_store(self, spec: StoreSpec, report: HostReport) -> HostReport:
        journal = pathlib.Path(spec.journal) if spec.journal else None
        server = StoreServer(
            clock=self._reactor, behaviour=spec.behaviour, journal=journal
        )
        address = self._serve(spec.address, server.app)
        return dataclasses.replace(report, store=address)

    def open_vm_list(self, spec: VmListSpec, report: HostReport) -> HostReport:
        server = VmListServer(clock=self._reactor, behaviour=spec.behaviour)
        views = {
            name: self._serve("", VmListView(server=server, view=name).app)
            for name in spec.views
        }
        address = self._serve(spec.address, server.app)
        return dataclasses.replace(report, vm_list=address, views=views)

    def open_backends(self, spec: HostSpec, report: HostReport) -> HostReport:
        specs = tuple(
            dataclasses.replace(item, address=item.address or self._any_port)
            for item in spec.backends
        )
        host = BackendHost(specs=specs, seed=spec.seed, reactor=self._reactor)
        return dataclasses.replace(
            report,
            backends=host.open(),
            control=self._serve(spec.control, host.app),
        )

    def open_links(self, spec: HostSpec, report: HostReport) -> HostReport:
        specs = tuple(
            dataclasses.replace(item, address=item.address or self._any_port)
            for item in spec.links
        )
        forwarder = Forwarder(specs=specs, reactor=self._reactor)
        return dataclasses.replace(
            report,
            links=forwarder.open(),
            link_control=self._serve(spec.link_control, forwarder.app),
        )

    def _serve(self, address: str, app: Klein) -> str:
        site = Site(app.resource())
        port = listen(self._reactor, address or self._any_port, site)
        return format_address(port)


def load_spec(path: pathlib.Path) -> HostSpec:
    """Read what to host.

    :param path: Path of a YAML file.
    :returns: What to host.
    :raises msgspec.ValidationError: If the file doesn't fit.
    """
    data = yaml.safe_load(path.read_text(encoding="utf-8"))
    return msgspec.convert(data, HostSpec)


def write_report(path: pathlib.Path, report: HostReport) -> None:
    """Write the addresses got, all at once.

    :param path: Path of the file.
    :param report: The addresses.
    """
    partial = path.with_suffix(".partial")
    partial.write_bytes(encode_json(report))
    os.replace(partial, path)


def main(arguments: list[str] | None = None) -> int:
    """Run the stand-ins until the process is told to end.

    :param arguments: The command line; none for the process's own.
    :returns: The exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--spec", type=pathlib.Path, required=True)
    parser.add_argument("--ready", type=pathlib.Path, required=True)
    options = parser.parse_args(arguments)
    reactor: Any = global_reactor
    write_report(options.ready, open_host(load_spec(options.spec), reactor))
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
