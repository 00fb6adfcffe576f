"""Backend servers, as seen by one node."""

import dataclasses

from bluebellbay.settings import IndexSettings
from bluebellbay.state.holding import HoldingTable


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerRecord:
    """A backend server, as seen by this node.

    :param name: Name of the server's VM.
    :param address: ``host:port`` that the server listens on.
    :param failure_domain: Failure domain of the VM.
    :param index: Name of the index that the server serves.
    :param service: Name of the service that the server belongs to.
    :param slots: Legs that the server runs concurrently.
    :param connection_limit: Connections that the server accepts from all
        nodes together.
    :param incarnation: Incarnation of the server in the platform's VM list.
    :param added_at: Time in seconds when this node first saw the server.
    :param leaving: Whether the server must get no new work.
    :param unlisted: Whether the platform's VM list no longer has the server;
        it is kept while legs are in progress.
    :param connection_share: Connections that this node may open.
    :param outstanding: Legs of this node in flight at the server.
    :param latency_s: Estimated latency in seconds.
    :param failures: Consecutive failures.
    :param ejected_until: Time in seconds until which the server is ejected.
    :param ejections: Ejections since the last reply.
    :param reported_load: Load last reported by the server; only a hint.
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
    unlisted: bool = False
    connection_share: int = 1
    outstanding: int = 0
    latency_s: float = 0.0
    failures: int = 0
    ejected_until: float = 0.0
    ejections: int = 0
    reported_load: float = 0.0


class ServerTable:
    """All backend servers, and the holdings of each index.

    :param indexes: Settings of the indexes.
    :ivar indexes: Settings by name of index.
    :ivar holdings: Holdings by name of index.
    :ivar servers: Records by name of server.
    :ivar vm_list_sequence: Sequence number of the newest VM list read.
    """

    def __init__(self, *, indexes: tuple[IndexSettings, ...]) -> None:
        self.indexes = {index.name: index for index in indexes}
        self.holdings = {index.name: HoldingTable() for index in indexes}
        self.servers: dict[str, ServerRecord] = {}
        self.vm_list_sequence = 0
