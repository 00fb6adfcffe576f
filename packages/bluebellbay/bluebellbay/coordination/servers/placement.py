"""Chooses the replica that a leg goes to."""

from collections.abc import Container
from collections.abc import Iterable

from bluebellbay.state.latency import LatencyTable
from bluebellbay.state.node import NodeState
from bluebellbay.state.server import ServerRecord

HINT_WEIGHT = 0.2
LEAST_START_SHARE = 0.05
UNKNOWN_LATENCY_S = 0.001


class ReplicaChooser:
    """Chooses among the servers that may read a range.

    :param state: What the node knows.
    :param latencies: Latencies of all servers.
    """

    def __init__(self, *, state: NodeState, latencies: LatencyTable) -> None:
        self._state = state
        self._latencies = latencies
        self._by_load = state.settings.policy.choose_by_load
        self._probe_s = state.settings.policy.probe_s
        self._slow_start_s = state.settings.policy.slow_start_s

    def choose(
        self, names: Iterable[str], tried: Container[str], now: float
    ) -> ServerRecord | None:
        """Choose a server for a leg.

        A server that is set aside is chosen only if no other is left, and
        one that is leaving never.

        :param names: Names of the candidates.
        :param tried: Names of servers that must not be chosen.
        :param now: Present time in seconds.
        :returns: The server, or none if no candidate is left.
        """
        servers = self._state.servers.servers
        usable = []
        aside = []
        for name in names:
            record = servers.get(name)
            if record is None or record.leaving or name in tried:
                continue
            if record.ejected_until > now:
                aside.append(record)
            else:
                usable.append(record)
        choices = usable or aside
        if not choices:
            return None
        if len(choices) == 1:
            return choices[0]
        return self._choose_of(choices, now)

    def _choose_of(
        self, choices: list[ServerRecord], now: float
    ) -> ServerRecord:
        rng = self._state.rng
        count = len(choices)
        place = int(rng.random() * count)
        first = choices[place]
        if not self._by_load:
            return first
        second = choices[(place + 1 + int(rng.random() * (count - 1))) % count]
        newer = first if _start_of(first) > _start_of(second) else second
        older = second if newer is first else first
        if not self._has_started(newer, older, now):
            return older
        if self._rate(second) < self._rate(first):
            first, second = second, first
        if self._may_probe(second, now):
            return second
        return first

    def _has_started(
        self, newer: ServerRecord, older: ServerRecord, now: float
    ) -> bool:
        # Servers that are equally new share the load from the start.
        started_at = _start_of(newer)
        age_s = now - started_at
        if age_s >= self._slow_start_s or started_at <= _start_of(older):
            return True
        share = max(LEAST_START_SHARE, age_s / self._slow_start_s)
        return self._state.rng.random() < share

    def _may_probe(self, record: ServerRecord, now: float) -> bool:
        # One leg now and then shows whether a slow server has recovered.
        if record.outstanding:
            return False
        window = self._latencies.get(record.name)
        if now - window.probed_at < self._probe_s:
            return False
        window.probed_at = now
        return True

    def _rate(self, record: ServerRecord) -> float:
        latency_s = self._latencies.get(record.name).estimate_s
        waiting = 1 + record.outstanding / record.slots
        hint = 1 + HINT_WEIGHT * min(1.0, max(0.0, record.reported_load))
        return max(latency_s, UNKNOWN_LATENCY_S) * waiting * hint


def _start_of(record: ServerRecord) -> float:
    return max(record.added_at, record.ejected_until)
