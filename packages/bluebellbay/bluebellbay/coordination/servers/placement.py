"""Chooses the replica that a leg is sent to."""

from collections.abc import Container
from collections.abc import Iterable

from bluebellbay.state.latency import LatencyTable
from bluebellbay.state.node import NodeState
from bluebellbay.state.server import ServerRecord

# The load that a server reports raises its cost by at most this share, as it
# is only a hint.
LOAD_HINT_WEIGHT = 0.2
MIN_SLOW_START_SHARE = 0.05
# Also stands for an unknown latency, whose estimate is 0.
MIN_LATENCY_S = 0.001


class ReplicaChooser:
    """Chooses the better of two random servers that hold a range.

    The better one has the lower product of latency, queue length and
    reported load. New servers and those whose ejection has ended get their
    full share of legs only after ``policy.slow_start_s``. Without
    ``policy.choose_by_load`` the choice is uniformly random.

    :param state: The node's shared state.
    :param latencies: Latencies of all servers.
    """

    def __init__(self, *, state: NodeState, latencies: LatencyTable) -> None:
        self._state = state
        self._latencies = latencies
        self._by_load = state.settings.policy.choose_by_load
        self._probe_s = state.settings.policy.probe_s
        self._slow_start_s = state.settings.policy.slow_start_s

    def choose(
        self, names: Iterable[str], excluded: Container[str], now: float
    ) -> ServerRecord | None:
        """Choose a server for a leg.

        An ejected server is chosen only if no other candidate is left, a
        leaving one never.

        :param names: Names of the candidates.
        :param excluded: Names of servers that must not be chosen.
        :param now: Current Unix time in seconds.
        :returns: The server; ``None`` if no candidate is left.
        """
        servers = self._state.servers.servers
        available = []
        ejected = []
        for name in names:
            record = servers.get(name)
            if record is None or record.leaving or name in excluded:
                continue
            if record.ejected_until > now:
                ejected.append(record)
            else:
                available.append(record)
        candidates = available or ejected
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        return self._choose_among(candidates, now)

    def _choose_among(
        self, candidates: list[ServerRecord], now: float
    ) -> ServerRecord:
        rng = self._state.rng
        count = len(candidates)
        position = int(rng.random() * count)
        first = candidates[position]
        if not self._by_load:
            return first
        second = candidates[
            (position + 1 + int(rng.random() * (count - 1))) % count
        ]
        newer = first if _find_start(first) > _find_start(second) else second
        older = second if newer is first else first
        if not self._may_choose_newer(newer, older, now):
            return older
        if self._estimate_cost(second) < self._estimate_cost(first):
            first, second = second, first
        if self._try_probe(second, now):
            return second
        return first

    def _may_choose_newer(
        self, newer: ServerRecord, older: ServerRecord, now: float
    ) -> bool:
        # Servers that started at the same time skip the slow start: there is
        # no older one that should take the larger share.
        started_at = _find_start(newer)
        age_s = now - started_at
        if age_s >= self._slow_start_s or started_at <= _find_start(older):
            return True
        share = max(MIN_SLOW_START_SHARE, age_s / self._slow_start_s)
        return self._state.rng.random() < share

    def _try_probe(self, record: ServerRecord, now: float) -> bool:
        # A server that always loses the comparison gets one leg from time to
        # time, which shows whether it has recovered.
        if record.outstanding:
            return False
        window = self._latencies.get(record.name)
        if now - window.probed_at < self._probe_s:
            return False
        window.probed_at = now
        return True

    def _estimate_cost(self, record: ServerRecord) -> float:
        latency_s = self._latencies.get(record.name).estimate_s
        queue_factor = 1 + record.outstanding / record.slots
        load_factor = 1 + LOAD_HINT_WEIGHT * min(
            1.0, max(0.0, record.reported_load)
        )
        return max(latency_s, MIN_LATENCY_S) * queue_factor * load_factor


def _find_start(record: ServerRecord) -> float:
    # The slow start begins when a server is added or its ejection ends.
    return max(record.added_at, record.ejected_until)
