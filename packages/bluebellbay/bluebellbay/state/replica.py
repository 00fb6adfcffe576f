"""The replicas that a node knows, and what it learned of each."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from bluebellbay.protocol.replica import ReplicaEntry
from bluebellbay.state.decaying_average import DecayingAverage
from bluebellbay.state.latency import LatencyWindow


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class ReplicaRecord:
    """One incarnation of a replica.

    :param entry: Its entry, as last read.
    :param added_at: Time in seconds when this node first knew it.
    :param in_flight: Attempts of this node under way: number to the time in
        seconds when each is overdue, in order of sending.
    :param latencies: Latencies by name of route.
    :param refusal_rate: Share of attempts that it refused lately.
    :param failures: Failures in a row.
    :param ejected_until: Time in seconds until which it is a last resort.
    :param last_answer_at: Time in seconds when it answered last.
    :param unlisted_at: Time in seconds when its entry went; none while
        there is one.
    :param connection_limit: Connections that this node may open to it.
    """

    entry: ReplicaEntry
    added_at: float
    in_flight: dict[int, float] = dataclasses.field(default_factory=dict)
    latencies: dict[str, LatencyWindow] = dataclasses.field(
        default_factory=dict
    )
    refusal_rate: DecayingAverage = dataclasses.field(
        default_factory=DecayingAverage
    )
    failures: int = 0
    ejected_until: float = 0.0
    last_answer_at: float = 0.0
    unlisted_at: float | None = None
    connection_limit: int = 0

    @property
    def incarnation(self) -> tuple[str, int]:
        """What tells this start of the replica from others."""
        return (self.entry.replica_id, self.entry.started_ms)

    def has_overdue_attempt(self, now: float) -> bool:
        """Say whether an attempt has been silent for unusually long.

        :param now: Present time in seconds.
        :returns: Whether the oldest attempt under way is overdue.
        """
        for due_at in self.in_flight.values():
            return due_at <= now
        return False

    def get_latency_window(self, route: str) -> LatencyWindow:
        """Give the latencies of a route.

        :param route: Name of the route.
        :returns: Its window, empty at first.
        """
        window = self.latencies.get(route)
        if window is None:
            window = self.latencies[route] = LatencyWindow()
        return window


class ReplicaTable:
    """All replicas known, by identity and by service."""

    def __init__(self) -> None:
        self._by_id: dict[str, ReplicaRecord] = {}
        self._by_service: dict[str, dict[str, ReplicaRecord]] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[ReplicaRecord]:
        return iter(tuple(self._by_id.values()))

    def find(self, replica_id: str) -> ReplicaRecord | None:
        """Look a replica up.

        :param replica_id: Its identity.
        :returns: Its record, if it is known.
        """
        return self._by_id.get(replica_id)

    def list_service(self, service: str) -> Iterable[ReplicaRecord]:
        """List the replicas of a service.

        :param service: Name of the service.
        :returns: Their records, those that drain included.
        """
        return self._by_service.get(service, {}).values()

    def add(self, record: ReplicaRecord) -> None:
        """Add a replica, in place of a former incarnation if any.

        :param record: The replica.
        """
        self.remove(record.entry.replica_id)
        replica_id = record.entry.replica_id
        self._by_id[replica_id] = record
        by_id = self._by_service.setdefault(record.entry.service, {})
        by_id[replica_id] = record

    def remove(self, replica_id: str) -> ReplicaRecord | None:
        """Drop a replica.

        :param replica_id: Its identity.
        :returns: Its record, if it was known.
        """
        record = self._by_id.pop(replica_id, None)
        if record is None:
            return None
        del self._by_service[record.entry.service][replica_id]
        return record
