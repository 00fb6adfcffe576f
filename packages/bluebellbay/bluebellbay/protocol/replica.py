"""What a replica says of itself in the platform's store."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaEntry:
    """One replica as its entry describes it.

    :param replica_id: Identity that the replica answers under.
    :param service: Service that it runs.
    :param address: ``host:port``.
    :param failure_domain: Where it runs.
    :param slots: Requests that it runs at once.
    :param draining: Whether it must get no new requests.
    :param started_ms: Unix milliseconds of its start; with ``replica_id``
        it names one incarnation.
    :param sequence: Count of its heartbeats since that start.
    :param warmup_s: Seconds for which it stays slow after its start.
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
