"""Replicas of backend services and their health, as seen by one node."""

import collections
from collections.abc import Collection
from collections.abc import Iterator
import dataclasses

from bluebellbay.protocol.replica import ReplicaCondition
from bluebellbay.protocol.replica import ReplicaEntry
from bluebellbay.protocol.replica import ReplicaLoad
from bluebellbay.state.decaying_average import DecayingAverage
from bluebellbay.state.latency import LatencyWindow
from bluebellbay.state.pace import PaceRecord
from bluebellbay.state.rate_limit import RateLimitRecord
from bluebellbay.state.sliding_window_counter import SlidingWindowCounter

# Bounds the memory for removed incarnations of which answers told something.
MAX_FORMER_INCARNATIONS = 4096


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FormerIncarnation:
    """What answers of a removed incarnation told that holds on.

    :param leaving: Whether it is leaving.
    :param quiet_until: Time in seconds until which it asked for no requests.
    :param limit: The rate limit that it last named, if any.
    """

    leaving: bool
    quiet_until: float
    limit: RateLimitRecord | None


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
    :param entry_cold_until: Time in seconds until which it is cold by its
        entry.
    :param cold_until: Time in seconds until which it is cold by its entry or
        its last answer.
    :param cold_sends: Requests that this node has sent to it while cold.
    :param pace: Its way to its whole share of the work; ``None`` if it has
        it.
    :param load: Its load, as last told; ``None`` if it never was.
    :param load_at: Time in seconds when its load was told.
    :param foreign_load: Requests of other nodes that it had then.
    :param leaving: Whether an answer said that it is leaving. Only another
        incarnation is usable again.
    :param quiet_until: Time in seconds until which it asked for no requests.
    :param limit: The rate limit that it last named; ``None`` if it never did.
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
    entry_cold_until: float = 0.0
    cold_until: float = 0.0
    cold_sends: SlidingWindowCounter = dataclasses.field(
        default_factory=SlidingWindowCounter
    )
    pace: PaceRecord | None = None
    load: ReplicaLoad | None = None
    load_at: float = 0.0
    foreign_load: int = 0
    leaving: bool = False
    quiet_until: float = 0.0
    limit: RateLimitRecord | None = None

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identity and start time, which identify this incarnation."""
        return (self.entry.replica_id, self.entry.started_ms)

    @property
    def rate_per_s(self) -> float | None:
        """Requests a second that it takes, if it names a limit."""
        return None if self.limit is None else self.limit.per_s

    def get_return_time(self) -> float:
        """Return the time in seconds until which it is known to have no room.

        That is the end of its pause, and with a rate limit also the earliest
        time at which a lender has room.
        """
        if self.limit is None or self.limit.per_s is None:
            return self.quiet_until
        room_at = min(self.limit.full_until.values(), default=0.0)
        return max(self.quiet_until, room_at)

    def __post_init__(self) -> None:
        self.note_entry_warmup(self.added_at)

    def note_entry_warmup(self, now: float) -> None:
        """Take the warm-up time left from an entry that was just read.

        :param now: Current time in seconds; the entry is no younger.
        """
        if self.entry.warmup_s > 0:
            self.entry_cold_until = now + self.entry.warmup_s
            self.cold_until = max(self.cold_until, self.entry_cold_until)

    def begin_pace(self, at: float) -> None:
        """Begin with the least share of the work.

        :param at: Time in seconds when it gets its first requests.
        """
        self.pace = PaceRecord(changed_at=at)

    def note_condition(self, condition: ReplicaCondition, now: float) -> None:
        """Take over what an answer tells of the replica.

        :param condition: The condition that the answer tells.
        :param now: Current time in seconds.
        """
        if condition.warmup_s is not None:
            self.cold_until = max(
                self.entry_cold_until, now + condition.warmup_s
            )
            if self.cold_until > now and self.pace is None:
                self.begin_pace(now)
        if condition.load is not None:
            load = self.load = condition.load
            self.load_at = now
            self.foreign_load = max(
                0, load.running + load.waiting - len(self.in_flight)
            )

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
        # Removed incarnations of which answers told something that holds on,
        # as the store may list the same incarnation again.
        self._former: collections.OrderedDict[
            tuple[str, int, str], FormerIncarnation
        ] = collections.OrderedDict()

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
        former = self._former.pop(_build_key(record.entry), None)
        if former is not None:
            record.leaving = former.leaving
            record.quiet_until = former.quiet_until
            record.limit = former.limit
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
        self.remember(record)
        self._update_domains(record.entry.service)
        return record

    def find_same(self, record: ReplicaRecord) -> ReplicaRecord:
        """Find the present record of an incarnation.

        :param record: A record of it, which may have been removed.
        :returns: The record in the table if the incarnation is listed, else
            the given one.
        """
        found = self._by_id.get(record.entry.replica_id)
        if found is None:
            return record
        same = _build_key(found.entry) == _build_key(record.entry)
        return found if same else record

    def remember(self, record: ReplicaRecord) -> None:
        """Keep what a removed incarnation said, should it be listed again.

        :param record: The record; nothing is done if it is in the table.
        """
        if self._by_id.get(record.entry.replica_id) is record:
            return
        if not (record.leaving or record.quiet_until or record.limit):
            return
        key = _build_key(record.entry)
        self._former[key] = FormerIncarnation(
            leaving=record.leaving,
            quiet_until=record.quiet_until,
            limit=record.limit,
        )
        self._former.move_to_end(key)
        if len(self._former) > MAX_FORMER_INCARNATIONS:
            self._former.popitem(last=False)

    def _update_domains(self, service: str) -> None:
        self._domains[service] = frozenset(
            record.entry.failure_domain
            for record in self._by_service[service].values()
        )


def _build_key(entry: ReplicaEntry) -> tuple[str, int, str]:
    return (entry.replica_id, entry.started_ms, entry.address)
