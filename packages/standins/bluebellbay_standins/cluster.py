"""A platform, backend servers and daemons as separate processes."""

import contextlib
import dataclasses
import pathlib
import tempfile
from types import TracebackType
from typing import Any
import uuid

from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.configuration import CONFIGURATION_KEY
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.configuration import ProfileRecord
from bluebellbay.protocol.profile import Profile
from bluebellbay.protocol.vm import VmEntry
from bluebellbay.protocol.vm import VmRole
from bluebellbay_standins.client import call
from bluebellbay_standins.client import change
from bluebellbay_standins.client import Reply
from bluebellbay_standins.fleet import describe_backend
from bluebellbay_standins.fleet import FleetShape
from bluebellbay_standins.fleet import place_servers
from bluebellbay_standins.fleet import ServerPlace
from bluebellbay_standins.forwarder import LinkSpec
from bluebellbay_standins.main import HostSpec
from bluebellbay_standins.main import StoreSpec
from bluebellbay_standins.main import VmListSpec
from bluebellbay_standins.process import DaemonProcess
from bluebellbay_standins.process import find_address
from bluebellbay_standins.process import HostProcess
from bluebellbay_standins.process import name_host

STORE_LINK = "store"
VM_LIST_LINK = "vm-list"
# The connections of a process that ends are closed by its machine.
CONNECTION_LINGER_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryPlace:
    """Where one entry VM stands.

    :param name: Name of the VM.
    :param failure_domain: Its failure domain.
    :param address: ``host:port`` for callers.
    :param peer_address: ``host:port`` for peers.
    """

    name: str
    failure_domain: str
    address: str
    peer_address: str


def _place_entry(number: int, domain: str, host: str) -> EntryPlace:
    return EntryPlace(
        name=f"entry-{number}",
        failure_domain=domain,
        address=find_address(host),
        peer_address=find_address(host),
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClusterShape:
    """What a cluster is made of.

    :param fleets: The users' indexes.
    :param entry_domains: Failure domain of each entry VM, in order.
    :param backend_processes: Processes that share the backend servers.
    :param alone: Names of servers that have a process of their own.
    :param behaviour: Fields that differ in every server's behaviour.
    :param settings: Fields that differ in every daemon's settings, by
        section.
    :param links: Whether failure domains reach each other and the platform
        through links that can be cut.
    :param seed: Seed of the backend servers' running times.
    """

    fleets: tuple[FleetShape, ...]
    entry_domains: tuple[str, ...]
    backend_processes: int = 1
    alone: tuple[str, ...] = ()
    behaviour: dict[str, Any] = dataclasses.field(default_factory=dict)
    settings: dict[str, dict[str, Any]] = dataclasses.field(
        default_factory=dict
    )
    links: bool = False
    seed: int = 1


class Cluster:
    """Starts everything, and ends it when left as a context.

    :param shape: What it is made of.
    """

    def __init__(self, *, shape: ClusterShape) -> None:
        self.shape = shape
        self.places: tuple[ServerPlace, ...] = tuple(
            place for fleet in shape.fleets for place in place_servers(fleet)
        )
        self._hosts = (name_host(number) for number in range(1, 255))
        self.entries = tuple(
            _place_entry(number, domain, next(self._hosts))
            for number, domain in enumerate(shape.entry_domains, start=1)
        )
        self.daemons: dict[str, DaemonProcess] = {}
        self.backend_hosts: list[HostProcess] = []
        self._host_by_server: dict[str, HostProcess] = {}
        self._stack = contextlib.ExitStack()
        self._folder = pathlib.Path(
            self._stack.enter_context(
                tempfile.TemporaryDirectory(prefix="bluebellbay-")
            )
        )
        self.store_host = self._prepare_host("store", self._describe_store())
        self.vm_list_host = self._prepare_host(
            "vm-list",
            HostSpec(vm_list=VmListSpec(views=self._list_domains())),
        )
        self.link_host: HostProcess | None = None

    def __enter__(self) -> "Cluster":
        """Keep the cluster until the context is left."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End every process."""
        self.close()

    def close(self) -> None:
        """End every process and remove the files."""
        self._stack.close()

    @property
    def store(self) -> str:
        """Address of the store itself, also for its control."""
        return self.store_host.report.store

    @property
    def vm_list(self) -> str:
        """Address of the list itself, also for its control."""
        return self.vm_list_host.report.vm_list

    def start_platform(self) -> None:
        """Start the store, the backend servers and the list of VMs."""
        self._prepare_backends()
        hosts = (self.store_host, self.vm_list_host, *self.backend_hosts)
        for host in hosts:
            host.begin()
        for host in hosts:
            host.wait_until_ready()
        if self.shape.links:
            self._start_links()
        self._fill_vm_list()

    def start_daemons(self) -> None:
        """Start every daemon, without waiting for it."""
        for entry in self.entries:
            daemon = DaemonProcess(
                settings=self.describe_settings(entry), folder=self._folder
            )
            self.daemons[entry.name] = daemon
            self._stack.callback(daemon.child.kill)
            daemon.start()

    def wait_until_up(self) -> None:
        """Wait until every daemon answers operators."""
        for daemon in self.daemons.values():
            daemon.wait_until_up()

    def wait_until_healthy(self) -> None:
        """Wait until every daemon welcomes requests."""
        for daemon in self.daemons.values():
            daemon.wait_until_healthy()

    def control_backend(self, name: str, **fields: Any) -> None:
        """Change fields of a backend server's behaviour.

        :param name: Name of the server.
        :param fields: The fields.
        """
        control = self._host_by_server[name].report.control
        change(control, f"/control/{name}", **fields)

    def find_backend_host(self, name: str) -> HostProcess:
        """Find the process that hosts a backend server.

        :param name: Name of the server.
        :returns: The process.
        """
        return self._host_by_server[name]

    def seed_profiles(self, profiles: tuple[Profile, ...]) -> None:
        """Write a first configuration into the store.

        :param profiles: The profiles that it holds.
        """
        records = tuple(
            ProfileRecord(name=item.name, revision=1, profile=item)
            for item in profiles
        )
        document = ConfigurationDocument(
            revision=1, change_id=uuid.uuid4().hex, profiles=records
        )
        value = encode_json(document).decode()
        path = f"/v1/keys/{CONFIGURATION_KEY}"
        body = {"value": value, "expected_version": 0}
        reply = call(self.store, "PUT", path, body)
        if reply.status != 200:
            raise RuntimeError(f"store answered {reply}")

    def read_backend_counts(self) -> dict[str, Any]:
        """Read what every backend server has seen, by name."""
        counts: dict[str, Any] = {}
        for host in self.backend_hosts:
            reply = call(host.report.control, "GET", "/control/counts")
            counts.update(reply.body)
        return counts

    def count_executions(self, request_id: str) -> int:
        """Count how often any part of a request began to run.

        :param request_id: The caller's request id.
        :returns: Executions at all backend servers.
        """
        return sum(
            counts["executions_by_request"].get(request_id, 0)
            for counts in self.read_backend_counts().values()
        )

    def control_store(self, **fields: Any) -> None:
        """Change fields of the store's behaviour.

        :param fields: The fields.
        """
        change(self.store, "/control", **fields)

    def query(
        self, entry: str, index: str, timeout_s: float = 30.0, **body: Any
    ) -> Reply:
        """Send a request to an entry VM as a caller.

        :param entry: Name of the entry VM.
        :param index: Name of the index.
        :param timeout_s: Time in seconds after which to give up.
        :param body: Fields of the request.
        :returns: The answer.
        :raises OSError: If the connection fails or breaks.
        """
        address = self.daemons[entry].address
        path = f"/v1/query/{index}"
        return call(address, "POST", path, body, timeout_s)

    def set_links(
        self, names: tuple[str, ...], *, forth: str, back: str
    ) -> None:
        """Change what links do.

        :param names: Names of the links, ``DOMAIN/TARGET``.
        :param forth: ``pass``, ``drop`` or ``hold``, towards the target.
        :param back: The same, from the target.
        """
        if self.link_host is None:
            raise RuntimeError("the cluster has no links")
        control = self.link_host.report.link_control
        change(control, "/control", links=names, forth=forth, back=back)

    def cut_domain(self, domain: str, mode: str = "drop") -> None:
        """Cut a failure domain off from the others and the platform.

        :param domain: Name of the failure domain.
        :param mode: ``drop`` or ``hold``; ``pass`` joins it again.
        """
        names = tuple(
            spec.name
            for spec in self._describe_links()
            if self._crosses(spec.name, domain)
        )
        self.set_links(names, forth=mode, back=mode)

    def describe_settings(self, entry: EntryPlace) -> dict[str, Any]:
        """Describe the settings of one entry VM's daemon.

        :param entry: The entry VM.
        :returns: The settings, as YAML would hold them.
        """
        shown = self._show_addresses(entry.failure_domain)
        peers = [
            {
                "name": peer.name,
                "failure_domain": peer.failure_domain,
                "address": shown.get(peer.address, peer.address),
                "peer_address": shown.get(
                    peer.peer_address, peer.peer_address
                ),
            }
            for peer in self.entries
            if peer.name != entry.name
        ]
        vm_list = self.vm_list_host.report.views[entry.failure_domain]
        settings: dict[str, Any] = {
            "node": {
                "name": entry.name,
                "failure_domain": entry.failure_domain,
                "listen": entry.address,
                "peer_listen": entry.peer_address,
            },
            "platform": {
                "store": f"http://{shown.get(self.store, self.store)}",
                "vm_list": f"http://{shown.get(vm_list, vm_list)}",
            },
            "indexes": [
                {
                    field.name: getattr(index, field.name)
                    for field in dataclasses.fields(index)
                }
                for fleet in self.shape.fleets
                for index in fleet.indexes
            ],
            "peers": peers,
            "fleet": {"connection_linger_s": CONNECTION_LINGER_S},
        }
        for section, fields in self.shape.settings.items():
            settings[section] = {**settings.get(section, {}), **fields}
        return settings

    def _describe_store(self) -> HostSpec:
        journal = self._folder / "store.journal"
        return HostSpec(store=StoreSpec(journal=str(journal)))

    def _prepare_host(self, name: str, spec: HostSpec) -> HostProcess:
        host = HostProcess(
            name=name,
            spec=dataclasses.replace(spec, host=next(self._hosts)),
            folder=self._folder,
        )
        self._stack.callback(host.child.kill)
        return host

    def _prepare_backends(self) -> None:
        alone = self.shape.alone
        shared = [item for item in self.places if item.name not in alone]
        processes = self.shape.backend_processes
        for number in range(processes):
            places = shared[number::processes]
            self._prepare_backend_host(f"backends-{number + 1}", places)
        for place in self.places:
            if place.name in alone:
                self._prepare_backend_host(place.name, [place])

    def _prepare_backend_host(
        self, name: str, places: list[ServerPlace]
    ) -> None:
        specs = tuple(
            describe_backend(place, **self.shape.behaviour) for place in places
        )
        host = self._prepare_host(
            name, HostSpec(backends=specs, seed=self.shape.seed)
        )
        self.backend_hosts.append(host)
        for place in places:
            self._host_by_server[place.name] = host

    def list_restarted(self, names: tuple[str, ...]) -> None:
        """List backend servers as started anew.

        :param names: Names of the servers.
        """
        vms = call(self.vm_list, "GET", "/v1/vms").body["vms"]
        changed = [
            {**vm, "incarnation": vm["incarnation"] + 1, "state": "live"}
            for vm in vms
            if vm["name"] in names
        ]
        call(self.vm_list, "POST", "/control/vms", changed)

    def _fill_vm_list(self) -> None:
        entries = [
            VmEntry(
                name=entry.name,
                role=VmRole.ENTRY,
                failure_domain=entry.failure_domain,
                address=entry.address,
                peer_address=entry.peer_address,
            )
            for entry in self.entries
        ]
        servers = [
            VmEntry(
                name=place.name,
                role=VmRole.BACKEND,
                failure_domain=place.failure_domain,
                address=self._find_backend(place.name),
                index=place.index.name,
                service=place.service,
            )
            for place in self.places
        ]
        call(self.vm_list, "POST", "/control/vms", entries + servers)

    def _find_backend(self, name: str) -> str:
        return self._host_by_server[name].report.backends[name]

    def _list_domains(self) -> tuple[str, ...]:
        return tuple(dict.fromkeys(self.shape.entry_domains))

    def _describe_links(self) -> tuple[LinkSpec, ...]:
        specs: list[LinkSpec] = []
        for domain in self._list_domains():
            view = self.vm_list_host.report.views[domain]
            targets = {STORE_LINK: self.store, VM_LIST_LINK: view}
            for entry in self.entries:
                if entry.failure_domain != domain:
                    targets[entry.name] = entry.address
                    targets[f"{entry.name}-peer"] = entry.peer_address
            for place in self.places:
                if place.failure_domain != domain:
                    targets[place.name] = self._find_backend(place.name)
            specs.extend(
                LinkSpec(name=f"{domain}/{name}", target=target)
                for name, target in targets.items()
            )
        return tuple(specs)

    def _start_links(self) -> None:
        specs = self._describe_links()
        self.link_host = self._prepare_host("links", HostSpec(links=specs))
        self.link_host.start()
        for domain in self._list_domains():
            changes = [
                {"meant": meant, "shown": shown}
                for meant, shown in self._show_addresses(domain).items()
            ]
            path = f"/control/views/{domain}"
            call(self.vm_list, "POST", path, changes)

    def _show_addresses(self, domain: str) -> dict[str, str]:
        if self.link_host is None:
            return {}
        links = self.link_host.report.links
        return {
            spec.target: links[spec.name]
            for spec in self._describe_links()
            if spec.name.startswith(f"{domain}/")
        }

    def _crosses(self, link: str, domain: str) -> bool:
        origin, _, target = link.partition("/")
        if origin == domain:
            return True
        inside = {item.name: item.failure_domain for item in self.entries}
        inside.update(
            {place.name: place.failure_domain for place in self.places}
        )
        return inside.get(target.removesuffix("-peer")) == domain
