"""The backend servers, as one node sees them."""

import dataclasses

from bluebellbay.settings import IndexSettings
from bluebellbay.state.holding import HoldingTable


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerRecord:
    """One backend server, as this node sees it.

    :param name: Name of the server's VM.
    :param address: ``host:port`` that it serves on.
    :param failure_domain: Its failure domain.
    :param index: Index that it serves.
    :param service: Service that it belongs to.
    :param slots: Legs that it runs at once.
    :param connection_limit: Connections that it accepts from all nodes.
    :param incarnation: Start of the server, from the platform's list.
    :param added_at: Time in seconds when this node first saw it.
    :param leaving: Whether it must get no new work.
    :param connection_share: Connections that this node may open.
    :param outstanding: Legs of this node under way there.
    :param latency_s: Estimate of its latency in seconds.
    :param failures: Failures in a row.
    :param ejected_until: Time in seconds until which it is set aside.
    :param ejections: Times that it was set aside without replying since.
    :param reported_load: Load that its endpoints last stated; a hint.
    """

    name: str
    address: str
    failure_domain: str
    index: str
    service: str
    slots: int
    connection_limit: int
    incarnation: int = 1
    added_at: float = 0.0
    leaving: bool = False
    connection_share: int = 1
    outstanding: int = 0
    latency_s: float = 0.0
    failures: int = 0
    ejected_until: float = 0.0
    ejections: int = 0
    reported_load: float = 0.0


class ServerTable:
    """All backend servers, by name, and the holdings of each index."""

    def __init__(self, *, indexes: tuple[IndexSettings, ...]) -> None:
        self.indexes = {index.name: index for index in indexes}
        self.holdings = {index.name: HoldingTable() for index in indexes}
        self.servers: dict[str, ServerRecord] = {}
        self.vm_list_sequence = 0
