"""Sets failing servers aside for a while, but never a whole service."""

from bluebellbay.state.node import NodeState
from bluebellbay.state.server import ServerRecord

MAX_EJECTION_FACTOR = 8


class EjectionPolicy:
    """Counts failures in a row and sets servers aside.

    :param state: What the node knows.
    """

    def __init__(self, *, state: NodeState) -> None:
        self._state = state

    def record_success(self, record: ServerRecord) -> None:
        """Note that a server has replied.

        :param record: The server.
        """
        record.failures = 0
        record.ejections = 0

    def record_failure(self, record: ServerRecord, now: float) -> bool:
        """Note that a server failed a leg or was silent for too long.

        :param record: The server.
        :param now: Present time in seconds.
        :returns: Whether it is set aside by this.
        """
        policy = self._state.settings.policy
        record.failures += 1
        if not policy.ejection or record.ejected_until > now:
            return False
        # A server that comes back from being set aside has one chance only.
        threshold = 1 if record.ejections else policy.ejection_failures
        if record.failures < threshold or not self._may_eject(record, now):
            return False
        duration_factor = min(2**record.ejections, MAX_EJECTION_FACTOR)
        record.ejected_until = now + policy.ejection_s * duration_factor
        record.ejections += 1
        record.failures = 0
        self._state.query_counters.ejections += 1
        return True

    def _may_eject(self, record: ServerRecord, now: float) -> bool:
        replicas = [
            other
            for other in self._state.servers.servers.values()
            if other.service == record.service
            and other.index == record.index
            and not other.leaving
        ]
        ejected = sum(1 for other in replicas if other.ejected_until > now)
        share = self._state.settings.policy.ejection_share
        return ejected + 1 <= share * len(replicas)
