"""Chooses the replica that a leg goes to."""

from collections.abc import Container
from collections.abc import Iterable

from bluebellbay.state.node import NodeState
from bluebellbay.state.server import ServerRecord


class ReplicaChooser:
    """Chooses among the servers that may read a range.

    :param state: What the node knows.
    """

    def __init__(self, *, state: NodeState) -> None:
        self._state = state

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
        return self._choose_of(choices)

    def _choose_of(self, choices: list[ServerRecord]) -> ServerRecord:
        rng = self._state.rng
        first = choices[int(rng.random() * len(choices))]
        if not self._state.settings.policy.choose_by_load:
            return first
        second = choices[int(rng.random() * len(choices))]
        if second.outstanding < first.outstanding:
            return second
        return first
