"""A stand-in for the platform's lagging list of VMs."""

import dataclasses

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.server import Request

from bluebellbay.protocol.codec import decode_json
from bluebellbay.protocol.vm import VmEntry
from bluebellbay.protocol.vm import VmList
from bluebellbay.protocol.vm import VmState
from bluebellbay_standins.clock import Clock
from bluebellbay_standins.site import merge_behaviour
from bluebellbay_standins.site import read_body
from bluebellbay_standins.site import write_json
from bluebellbay_standins.store import Outage


@dataclasses.dataclass(frozen=True, kw_only=True)
class VmListBehaviour:
    """What the list is told to do; each field may be set while it runs.

    :param lag_s: Time in seconds until a change becomes visible.
    :param outage: Whether calls are answered 503, or not at all.
    """

    lag_s: float = 0.0
    outage: Outage = Outage.NONE


@dataclasses.dataclass(frozen=True, kw_only=True)
class VmMark:
    """Body of a call that marks a VM.

    :param name: Name of the VM.
    :param state: Whether it is live or leaving.
    """

    name: str
    state: VmState


@dataclasses.dataclass(frozen=True, kw_only=True)
class AddressChange:
    """An address that one view of the list shows in place of another.

    :param shown: The address shown.
    :param meant: The address in the list.
    """

    shown: str
    meant: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Version:
    visible_at: float
    vm_list: VmList


class VmListServer:
    """Serves the list of VMs over HTTP, and ``/control`` beside it.

    A view shows other addresses on a port of its own, so that the VMs of one
    failure domain can be led through links that can be cut.

    :param clock: Source of time.
    :param behaviour: What it is told to do at first.
    """

    app = Klein()

    def __init__(
        self,
        *,
        clock: Clock,
        behaviour: VmListBehaviour | None = None,
    ) -> None:
        self.reads = 0
        self._clock = clock
        self._behaviour = behaviour or VmListBehaviour()
        first = VmList(sequence=1, vms=())
        self._versions = [_Version(visible_at=0.0, vm_list=first)]
        self._views: dict[str, dict[str, str]] = {}

    @app.route("/v1/vms", methods=["GET"])
    async def read_list(self, request: Request) -> bytes:
        """Answer with the list as it was a lag ago."""
        return await self.read_view(request, "")

    async def read_view(self, request: Request, view: str) -> bytes:
        """Answer with the list as one view shows it.

        :param request: The exchange.
        :param view: Name of the view; empty for the list itself.
        :returns: The body.
        """
        self.reads += 1
        if self._behaviour.outage is Outage.HANG:
            await Deferred()
        if self._behaviour.outage is Outage.REFUSE:
            return write_json(request, {"error": "out of service"}, 503)
        shown = self._views.get(view, {})
        present = self._find_visible()
        return write_json(
            request,
            VmList(
                sequence=present.sequence,
                vms=tuple(change_addresses(vm, shown) for vm in present.vms),
            ),
        )

    @app.route("/control", methods=["POST"])
    def change_behaviour(self, request: Request) -> bytes:
        """Change the fields of the behaviour that the body names."""
        merged = merge_behaviour(self._behaviour, read_body(request))
        if merged.is_error():
            return write_json(request, {"error": merged.error.reason}, 400)
        self._behaviour = merged.ok
        return write_json(request, self._behaviour)

    @app.route("/control/vms", methods=["POST"])
    def set_vms(self, request: Request) -> bytes:
        """Add or replace the VMs of the body, by name."""
        body = decode_json(read_body(request), tuple[VmEntry, ...])
        if body.is_error():
            return write_json(request, {"error": body.error.reason}, 400)
        vms = {vm.name: vm for vm in self._versions[-1].vm_list.vms}
        vms.update({vm.name: vm for vm in body.ok})
        return self._change(request, tuple(vms.values()))

    @app.route("/control/mark", methods=["POST"])
    def mark_vm(self, request: Request) -> bytes:
        """Mark a VM as live or leaving."""
        body = decode_json(read_body(request), VmMark)
        if body.is_error():
            return write_json(request, {"error": body.error.reason}, 400)
        mark = body.ok
        vms = self._versions[-1].vm_list.vms
        return self._change(
            request,
            tuple(
                dataclasses.replace(vm, state=mark.state)
                if vm.name == mark.name
                else vm
                for vm in vms
            ),
        )

    @app.route("/control/vms/<name>", methods=["DELETE"])
    def remove_vm(self, request: Request, name: str) -> bytes:
        """Take a VM off the list."""
        vms = self._versions[-1].vm_list.vms
        return self._change(
            request, tuple(vm for vm in vms if vm.name != name)
        )

    @app.route("/control/views/<view>", methods=["POST"])
    def set_view(self, request: Request, view: str) -> bytes:
        """Set the addresses that a view shows."""
        body = decode_json(read_body(request), tuple[AddressChange, ...])
        if body.is_error():
            return write_json(request, {"error": body.error.reason}, 400)
        self._views[view] = {item.meant: item.shown for item in body.ok}
        return write_json(request, {})

    @app.route("/control/counts", methods=["GET"])
    def report_counts(self, request: Request) -> bytes:
        """Report the reads seen."""
        return write_json(request, {"reads": self.reads})

    def _change(self, request: Request, vms: tuple[VmEntry, ...]) -> bytes:
        last = self._versions[-1]
        vm_list = VmList(sequence=last.vm_list.sequence + 1, vms=vms)
        visible_at = self._clock.seconds() + self._behaviour.lag_s
        self._versions.append(_Version(visible_at=visible_at, vm_list=vm_list))
        return write_json(request, vm_list)

    def _find_visible(self) -> VmList:
        now = self._clock.seconds()
        visible = [item for item in self._versions if item.visible_at <= now]
        return visible[-1].vm_list


class VmListView:
    """Serves one view of the list on a port of its own.

    :param server: The list.
    :param view: Name of the view.
    """

    app = Klein()

    def __init__(self, *, server: VmListServer, view: str) -> None:
        self._server = server
        self._view = view

    @app.route("/v1/vms", methods=["GET"])
    async def read_list(self, request: Request) -> bytes:
        """Answer with the list as this view shows it."""
        return await self._server.read_view(request, self._view)


def change_addresses(vm: VmEntry, shown: dict[str, str]) -> VmEntry:
    """Replace the addresses of a VM by those that a view shows.

    :param vm: The VM.
    :param shown: Addresses shown, by the address meant.
    :returns: The VM as shown.
    """
    return dataclasses.replace(
        vm,
        address=shown.get(vm.address, vm.address),
        peer_address=shown.get(vm.peer_address, vm.peer_address),
    )
