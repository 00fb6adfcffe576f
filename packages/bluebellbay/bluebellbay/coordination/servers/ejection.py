"""Ejects failing servers for a limited time."""

from bluebellbay.state.node import NodeState
from bluebellbay.state.server import ServerRecord

# The ejection time doubles up to this multiple of ``policy.ejection_s``.
MAX_EJECTION_FACTOR = 8


class EjectionPolicy:
    """Ejects servers after a number of consecutive failures.

    An ejected server gets legs only if no other replica is available. The
    time of ejection doubles with each ejection until the server replies
    again. At most the share ``policy.ejection_share`` of a service's
    replicas, leaving ones not counted, is ejected at a time, so that
    failures do not eject a whole service.

    :param state: The node's shared state.
    """

    def __init__(self, *, state: NodeState) -> None:
        self._state = state

    def record_success(self, record: ServerRecord) -> None:
        """Reset the failure and ejection counts of a server that replied.

        :param record: The server.
        """
        record.failures = 0
        record.ejections = 0

    def record_failure(self, record: ServerRecord, now: float) -> bool:
        """Count a failed or long unanswered leg and eject the server if due.

        :param record: The server.
        :param now: Current Unix time in seconds.
        :returns: Whether this failure ejected the server.
        """
        policy = self._state.settings.policy
        record.failures += 1
        if not policy.ejection or record.ejected_until > now:
            return False
        # After an ejection one failure is enough, unless the server replied.
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
