"""The platform's list of VMs."""

import dataclasses
import enum


class VmRole(enum.StrEnum):
    """Role of a VM."""

    ENTRY = "entry"
    BACKEND = "backend"


class VmState(enum.StrEnum):
    """Whether the platform keeps a VM or is about to remove it."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VmEntry:
    """One VM in the platform's list.

    :param name: Name of the VM.
    :param role: Whether it is an entry VM or a backend server.
    :param failure_domain: Name of its failure domain.
    :param address: ``host:port`` of its HTTP server.
    :param peer_address: ``host:port`` for peers; entry VMs only.
    :param index: Index that it serves; backend servers only.
    :param service: Service that it belongs to; backend servers only.
    :param state: Whether it is live or leaving.
    :param incarnation: Incremented each time the VM starts.
    """

    name: str
    role: VmRole
    failure_domain: str
    address: str
    peer_address: str = ""
    index: str = ""
    service: str = ""
    state: VmState = VmState.LIVE
    incarnation: int = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VmList:
    """The platform's list at one point in time.

    :param sequence: Increases with each change of the list.
    :param vms: The VMs.
    """

    sequence: int
    vms: tuple[VmEntry, ...]
