"""Entries that replicas write to the platform's store."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaEntry:
    """Entry of one replica.

    :param replica_id: Id of the replica.
    :param service: Name of its service.
    :param address: ``host:port`` that it listens on.
    :param failure_domain: Its failure domain.
    :param slots: Number of requests that it executes concurrently.
    :param draining: Whether it must get no new requests.
    :param started_ms: Start time in Unix milliseconds; identifies one
        incarnation together with ``replica_id``.
    :param sequence: Number of its heartbeats since that start.
    :param warmup_s: Seconds that it needs to warm up, during which it is
        slow.
    """

    replica_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    started_ms: int
    sequence: int
    warmup_s: float = 0.0
