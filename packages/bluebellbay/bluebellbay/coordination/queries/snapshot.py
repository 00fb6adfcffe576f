"""Chooses the snapshot of a query and the candidate servers per range."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from bluebellbay.protocol.key_range import KEY_SPACE_END
from bluebellbay.state.coverage import RangeSet
from bluebellbay.state.holding import HeldRange
from bluebellbay.state.server import ServerTable


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Segment:
    """A key range and the servers that hold all of it.

    :param start: First key of the range.
    :param end: First key after the range.
    :param servers: Names of the candidate servers.
    """

    start: int
    end: int
    servers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadPlan:
    """How one snapshot of an index can be read.

    :param snapshot: The snapshot.
    :param segments: Disjoint segments, in order.
    :param size: Number of keys that the segments cover together.
    """

    snapshot: int
    segments: tuple[Segment, ...]
    size: int

    @property
    def is_complete(self) -> bool:
        """Whether the segments cover the whole key space."""
        return self.size == KEY_SPACE_END

    def list_gaps(self) -> list[tuple[int, int]]:
        """List the ranges that no segment covers.

        :returns: The ranges, as (first key, first key after).
        """
        covered = RangeSet()
        for segment in self.segments:
            covered.add(segment.start, segment.end)
        return covered.list_gaps(0, KEY_SPACE_END)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _CacheKey:
    version: int
    unavailable: frozenset[str]


def _split_into_segments(ranges: Iterable[HeldRange]) -> Iterator[Segment]:
    starting: dict[int, list[str]] = {}
    ending: dict[int, list[str]] = {}
    for item in ranges:
        starting.setdefault(item.key_range.start, []).append(item.server)
        ending.setdefault(item.key_range.end, []).append(item.server)
    held: dict[str, int] = {}
    start = 0
    for position in sorted(starting.keys() | ending.keys()):
        if held and position > start:
            yield Segment(start=start, end=position, servers=tuple(held))
        for server in starting.get(position, ()):
            held[server] = held.get(server, 0) + 1
        for server in ending.get(position, ()):
            held[server] -= 1
            if not held[server]:
                del held[server]
        start = position


def _merge_segments(segments: Iterable[Segment]) -> Iterator[Segment]:
    # Adjacent segments are merged if the one with fewer candidates keeps all
    # of them: this saves a leg and does not reduce the choice of replicas.
    current: Segment | None = None
    for segment in segments:
        if current is None or segment.start != current.end:
            if current is not None:
                yield current
            current = segment
            continue
        common = set(current.servers) & set(segment.servers)
        if len(common) < min(len(current.servers), len(segment.servers)):
            yield current
            current = segment
            continue
        current = Segment(
            start=current.start,
            end=segment.end,
            servers=tuple(name for name in current.servers if name in common),
        )
    if current is not None:
        yield current


def build_plan(snapshot: int, ranges: Iterable[HeldRange]) -> ReadPlan:
    """Build a plan that reads a snapshot with few legs.

    :param snapshot: The snapshot.
    :param ranges: The ranges of it that servers hold.
    :returns: The plan; its segments are disjoint and in order.
    """
    segments = tuple(_merge_segments(_split_into_segments(ranges)))
    size = sum(segment.end - segment.start for segment in segments)
    return ReadPlan(snapshot=snapshot, segments=segments, size=size)


class SnapshotPlanner:
    """Plans queries, and caches plans.

    Plans of an index are dropped when its holdings or the set of leaving or
    ejected servers change.

    :param servers: The backend servers.
    """

    def __init__(self, *, servers: ServerTable) -> None:
        self._servers = servers
        self._cache_keys: dict[str, _CacheKey] = {}
        self._plans: dict[str, dict[tuple[int, bool], ReadPlan]] = {}
        self._best_plans: dict[str, ReadPlan | None] = {}

    def choose_snapshot(
        self, index: str, now: float, excluded: frozenset[int] = frozenset()
    ) -> ReadPlan | None:
        """Choose the newest snapshot that servers hold in full.

        Ejected servers are used only if no snapshot is complete without
        them. If none is complete at all, the snapshot with the most keys
        held is chosen.

        :param index: Name of the index.
        :param now: Current Unix time in seconds.
        :param excluded: Snapshots that must not be chosen.
        :returns: The plan, or ``None`` if no usable server holds anything.
        """
        self._drop_stale_plans(index, now)
        if excluded:
            return self._find_best_plan(index, now, excluded)
        if index not in self._best_plans:
            self._best_plans[index] = self._find_best_plan(
                index, now, excluded
            )
        return self._best_plans[index]

    def plan_gap(
        self,
        index: str,
        snapshot: int,
        gap: tuple[int, int],
        now: float,
        excluded: set[str],
    ) -> ReadPlan:
        """Plan how to read a range that is left after a reply or failure.

        :param index: Name of the index.
        :param snapshot: The snapshot that the query reads.
        :param gap: First key of the range, and first key after it.
        :param now: Current Unix time in seconds.
        :param excluded: Names of servers that must not be used.
        :returns: The plan, clipped to the range. It may have no segments or
            leave gaps.
        """
        self._drop_stale_plans(index, now)
        start, end = gap
        plan = build_plan(
            snapshot,
            (
                item
                for item in self._list_ranges(index, snapshot, now, True)
                if item.key_range.start < end
                and item.key_range.end > start
                and item.server not in excluded
            ),
        )
        segments = tuple(
            dataclasses.replace(
                segment,
                start=max(segment.start, start),
                end=min(segment.end, end),
            )
            for segment in plan.segments
            if segment.start < end and segment.end > start
        )
        size = sum(segment.end - segment.start for segment in segments)
        return ReadPlan(snapshot=snapshot, segments=segments, size=size)

    def is_reported(self, index: str, start: int, end: int) -> bool:
        """Check whether a server that is not leaving reports part of a range.

        :param index: Name of the index.
        :param start: First key of the range.
        :param end: First key after the range.
        :returns: Whether one does, in any snapshot.
        """
        servers = self._servers.servers
        names = self._servers.holdings[index].list_reporting_servers(
            start, end
        )
        return any(
            name in servers and not servers[name].leaving for name in names
        )

    def _drop_stale_plans(self, index: str, now: float) -> None:
        table = self._servers.holdings[index]
        table.expire_denials(now)
        key = _CacheKey(
            version=table.version,
            unavailable=frozenset(
                record.name
                for record in self._servers.servers.values()
                if record.leaving or record.ejected_until > now
            ),
        )
        if self._cache_keys.get(index) == key:
            return
        self._cache_keys[index] = key
        self._plans[index] = {}
        self._best_plans.pop(index, None)

    def _find_best_plan(
        self, index: str, now: float, excluded: frozenset[int]
    ) -> ReadPlan | None:
        snapshots = [
            snapshot
            for snapshot in self._servers.holdings[index].list_snapshots()
            if snapshot not in excluded
        ]
        largest: ReadPlan | None = None
        for include_ejected in (False, True):
            for snapshot in snapshots:
                plan = self._get_plan(index, snapshot, now, include_ejected)
                if plan.is_complete:
                    return plan
                if largest is None or plan.size > largest.size:
                    largest = plan
        return largest if largest is not None and largest.size else None

    def _get_plan(
        self, index: str, snapshot: int, now: float, include_ejected: bool
    ) -> ReadPlan:
        plans = self._plans[index]
        plan = plans.get((snapshot, include_ejected))
        if plan is None:
            ranges = self._list_ranges(index, snapshot, now, include_ejected)
            plan = build_plan(snapshot, ranges)
            plans[(snapshot, include_ejected)] = plan
        return plan

    def _list_ranges(
        self, index: str, snapshot: int, now: float, include_ejected: bool
    ) -> Iterator[HeldRange]:
        servers = self._servers.servers
        table = self._servers.holdings[index]
        for item in table.list_ranges(snapshot, now):
            record = servers.get(item.server)
            if record is None or record.leaving:
                continue
            if include_ejected or record.ejected_until <= now:
                yield item
