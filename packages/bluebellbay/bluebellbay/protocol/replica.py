"""What replicas tell of themselves, in the platform's store and in answers."""

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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaLoad:
    """Load of a replica at the time of an answer.

    :param running: Requests that it runs, from all nodes.
    :param waiting: Requests that wait at it.
    :param slots: Number of requests that it executes concurrently.
    :param slowness: Time that work takes now, relative to the usual time;
        ``None`` if the replica doesn't tell.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaCondition:
    """What an answer tells of its replica, besides the reply or refusal.

    :param load: Its load; ``None`` if the answer doesn't tell.
    :param warmup_s: Seconds until it is warm; ``None`` if the answer doesn't
        tell.
    :param leaving: Whether it gets no requests from now on, as it is leaving.
    :param pause_s: Seconds for which it asks for no requests, above 0;
        ``None`` if the answer doesn't tell.
    :param rate_per_s: Requests a second that it takes from all nodes together;
        ``None`` if the answer names no such limit that can be read.
    :param rate_unreadable: Whether the answer names a limit that can't be
        read, and so tells neither a limit nor its end.
    :param unreadable: Name and start of each value that can't be read.
    """

    load: ReplicaLoad | None = None
    warmup_s: float | None = None
    leaving: bool = False
    pause_s: float | None = None
    rate_per_s: float | None = None
    rate_unreadable: bool = False
    unreadable: tuple[str, ...] = ()


UNKNOWN_CONDITION = ReplicaCondition()
