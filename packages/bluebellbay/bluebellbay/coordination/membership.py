"""Knows the peers, from settings and the platform's list."""

from collections.abc import Iterable

from bluebellbay.coordination.part import Part
from bluebellbay.coordination.part import Step
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import VmListRead
from bluebellbay.protocol.vm import VmEntry
from bluebellbay.protocol.vm import VmRole
from bluebellbay.state.fleet import PeerRecord


class MembershipPart(Part):
    """Adds the entry VMs of the platform's list to the peers."""

    @property
    def handles(self) -> tuple[type, ...]:
        """The kinds of event that the part wants to be told."""
        return (VmListRead,)

    def step(self, event: Event, now: float) -> Iterable[Step]:
        """Take one event.

        :param event: The event.
        :param now: Present time in seconds.
        :returns: Commands and internal events, in order.
        """
        if isinstance(event, VmListRead):
            for entry in event.vm_list.vms:
                self._add_peer(entry)
        return ()

    def _add_peer(self, entry: VmEntry) -> None:
        if entry.role is not VmRole.ENTRY or not entry.peer_address:
            return
        fleet = self.state.fleet
        if entry.name == fleet.node.name:
            return
        peer = fleet.peers.get(entry.name)
        if peer is None:
            fleet.peers[entry.name] = PeerRecord(
                name=entry.name,
                failure_domain=entry.failure_domain,
                address=entry.address,
                peer_address=entry.peer_address,
            )
            return
        peer.failure_domain = entry.failure_domain
        peer.address = entry.address
        peer.peer_address = entry.peer_address
