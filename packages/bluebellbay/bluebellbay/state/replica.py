"""Replicas of backend services and their health, as seen by one node."""

from collections.abc import Collection
from collections.abc import Iterator
import dataclasses

from bluebellbay.protocol.replica import ReplicaEntry
from bluebellbay.state.decaying_average import DecayingAverage
from bluebellbay.state.latency import LatencyWindow


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class ReplicaRecord:
    """One incarnation of a replica.

    :param entry: The replica's registry entry, as last read.
    :param added_at: Time in seconds when this node first saw the
        incarnation.
    :param in_flight: Number of each attempt of this node in flight, mapped
        to the time in seconds when it becomes overdue, in sending order.
    :param latencies: Latency windows by route name.
    :param refusal_rate: Fraction of recent attempts that were refused.
    :param failures: Consecutive failures.
    :param ejected_until: Time in seconds until which the replica is used
        only if no other one is left.
    :param last_answer_at: Time in seconds of the last answer.
    :param unlisted_at: Time in seconds when the removal of the registry entry
        was read; ``None`` while there is one.
    :param connection_limit: Maximum number of connections from this node.
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
        """Identity and start time, which identify this incarnation."""
        return (self.entry.replica_id, self.entry.started_ms)

    def has_overdue_attempt(self, now: float) -> bool:
        """Tell whether the oldest attempt in flight is overdue.

        :param now: Current time in seconds.
        :returns: Whether it is; ``False`` if no attempt is in flight.
        """
        for due_at in self.in_flight.values():
            return due_at <= now
        return False

    def get_latency_window(self, route: str) -> LatencyWindow:
        """Return the latency window of a route, creating it if needed.

        :param route: Name of the route.
        :returns: The window; it is empty if newly created.
        """
        window = self.latencies.get(route)
        if window is None:
            window = self.latencies[route] = LatencyWindow()
        return window


class ReplicaTable:
    """All known replicas, indexed by identity and by service."""

    def __init__(self) -> None:
        self._by_id: dict[str, ReplicaRecord] = {}
        self._by_service: dict[str, dict[str, ReplicaRecord]] = {}
        self._domains: dict[str, frozenset[str]] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[ReplicaRecord]:
        return iter(tuple(self._by_id.values()))

    def find(self, replica_id: str) -> ReplicaRecord | None:
        """Look up a replica.

        :param replica_id: Identity of the replica.
        :returns: The record, or ``None`` if the replica is not known.
        """
        return self._by_id.get(replica_id)

    def list_service(self, service: str) -> Collection[ReplicaRecord]:
        """List the replicas of a service.

        :param service: Name of the service.
        :returns: The records, including those of draining replicas.
        """
        return self._by_service.get(service, {}).values()

    def list_domains(self, service: str) -> frozenset[str]:
        """List the failure domains that have replicas of a service.

        :param service: Name of the service.
        :returns: The domains, including those of draining replicas.
        """
        return self._domains.get(service, frozenset())

    def add(self, record: ReplicaRecord) -> None:
        """Add a replica, replacing a previous incarnation of it.

        :param record: The replica.
        """
        self.remove(record.entry.replica_id)
        replica_id = record.entry.replica_id
        self._by_id[replica_id] = record
        by_id = self._by_service.setdefault(record.entry.service, {})
        by_id[replica_id] = record
        self._update_domains(record.entry.service)

    def remove(self, replica_id: str) -> ReplicaRecord | None:
        """Remove a replica.

        :param replica_id: Identity of the replica.
        :returns: The removed record, or ``None`` if the replica was not
            known.
        """
        record = self._by_id.pop(replica_id, None)
        if record is None:
            return None
        del self._by_service[record.entry.service][replica_id]
        self._update_domains(record.entry.service)
        return record

    def _update_domains(self, service: str) -> None:
        self._domains[service] = frozenset(
            record.entry.failure_domain
            for record in self._by_service[service].values()
        )
