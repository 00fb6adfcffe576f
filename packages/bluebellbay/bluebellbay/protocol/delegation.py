"""Queries delegated to a peer, and probes of peers and replicas."""

import dataclasses

from bluebellbay.protocol.exchange import DelegationTerms
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import RoutedRequest
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.replica import ReplicaEntry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerProbed:
    """A probe of a peer has ended.

    :param name: Name of the peer.
    :param answered: Whether the peer responded before the timeout.
    """

    name: str
    answered: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaProbed:
    """A probe of a replica has ended.

    :param answered: Whether the replica accepted a connection before the
        timeout.
    """

    answered: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DelegateQuery:
    """Delegate the query of some shards to a peer.

    ``DelegationAnswered`` or ``AttemptFailed`` reports how it ended.

    :param attempt: Number of the attempt.
    :param request: The caller's request.
    :param peer: The peer that runs the query.
    :param terms: The shards to query, and the limits to apply.
    :param deadline_s: Seconds after which the peer stops its work.
    """

    attempt: int
    request: RoutedRequest
    peer: NodeEntry
    terms: DelegationTerms
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawDelegation:
    """Withdraw a delegated query if no byte of it has been written.

    :param attempt: Number of the attempt.
    """

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CheckDelegation:
    """Check whether the peer's kernel has acknowledged a delegated query.

    ``DelegationUnacknowledged`` reports that it has not. It is known only of
    peers whose round-trip time is a small part of ``after_s``.

    :param attempt: Number of the attempt.
    :param after_s: Seconds since the query was written, at least.
    """

    attempt: int
    after_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DelegationUnacknowledged:
    """A delegated query was written, but its peer has not acknowledged it.

    :param attempt: Number of the attempt.
    """

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelDelegation:
    """Cancel a delegated query; its end is still reported, as a failure.

    :param attempt: Number of the attempt.
    """

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProbeReplica:
    """Open and close a connection to a replica.

    ``ReplicaProbed`` reports the result.

    :param replica: The replica.
    :param timeout_s: Seconds after which the probe fails.
    """

    replica: ReplicaEntry
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DelegationAnswered:
    """A peer answered a delegated query.

    :param attempt: Number of the attempt.
    :param answer: The peer's answer; its ``exchange`` is not a number of this
        node.
    """

    attempt: int
    answer: MergedAnswer | ErrorAnswer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProbePeer:
    """Check whether a peer can be reached.

    ``PeerProbed`` reports the result.

    :param peer: The peer.
    :param timeout_s: Seconds after which the probe fails.
    """

    peer: NodeEntry
    timeout_s: float
