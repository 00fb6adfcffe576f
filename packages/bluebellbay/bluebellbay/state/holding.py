"""Which servers are believed to hold which ranges of which snapshots."""

import dataclasses

from bluebellbay.protocol.key_range import KeyRange
from bluebellbay.protocol.leg import Holding


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeldRange:
    """A range of one snapshot at one server.

    :param server: Name of the server.
    :param service: Name of its service.
    :param key_range: The range.
    """

    server: str
    service: str
    key_range: KeyRange


class HoldingTable:
    """Believed holdings of all servers of one index.

    ``version`` grows whenever a belief changes, so that plans made from
    the table can be kept until then.
    """

    def __init__(self) -> None:
        self.version = 0
        self._by_server: dict[str, tuple[str, tuple[Holding, ...]]] = {}

    def set_server(
        self, *, server: str, service: str, holdings: tuple[Holding, ...]
    ) -> None:
        """Replace what a server is believed to hold.

        :param server: Name of the server.
        :param service: Name of its service.
        :param holdings: Its holdings.
        """
        value = (service, holdings)
        if self._by_server.get(server) == value:
            return
        self._by_server[server] = value
        self.version += 1

    def remove_server(self, server: str) -> None:
        """Forget a server.

        :param server: Name of the server.
        """
        if self._by_server.pop(server, None) is not None:
            self.version += 1

    def list_snapshots(self) -> tuple[int, ...]:
        """List the snapshots held anywhere, newest first."""
        found = {
            holding.snapshot
            for _, holdings in self._by_server.values()
            for holding in holdings
        }
        return tuple(sorted(found, reverse=True))

    def list_ranges(self, snapshot: int) -> tuple[HeldRange, ...]:
        """List who holds which range of a snapshot.

        :param snapshot: Number of the snapshot.
        :returns: The ranges, in no set order.
        """
        return tuple(
            HeldRange(
                server=server,
                service=service,
                key_range=KeyRange(start=holding.start, end=holding.end),
            )
            for server, (service, holdings) in self._by_server.items()
            for holding in holdings
            if holding.snapshot == snapshot
        )
