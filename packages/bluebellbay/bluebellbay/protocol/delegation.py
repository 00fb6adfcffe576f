"""Queries that one node runs for another, and whether they reach it."""

import dataclasses

from bluebellbay.protocol.exchange import DelegationTerms
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import RoutedRequest
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.replica import ReplicaEntry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerProbed:
    """A peer was asked whether it can be reached.

    :param name: Name of the peer.
    :param answered: Whether it answered in time.
    """

    name: str
    answered: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaProbed:
    """A connection to a replica was tried.

    :param answered: Whether it was accepted in time.
    """

    answered: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DelegateQuery:
    """Let a peer query some shards; one event reports how it ended.

    :param attempt: Number of the attempt.
    :param request: The request.
    :param peer: The peer.
    :param terms: What is asked of it.
    :param deadline_s: Seconds after which it stops its work.
    """

    attempt: int
    request: RoutedRequest
    peer: NodeEntry
    terms: DelegationTerms
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawDelegation:
    """Take a query back from a peer if nothing of it has been written.

    :param attempt: Number of the attempt.
    """

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelDelegation:
    """Stop a query at a peer; its end is reported as a failure.

    :param attempt: Number of the attempt.
    """

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProbeReplica:
    """Try a connection to a replica and close it; one event tells.

    :param replica: The replica.
    :param timeout_s: Seconds after which it can't be reached.
    """

    replica: ReplicaEntry
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DelegationAnswered:
    """A peer answered a query.

    :param attempt: Number of the attempt.
    :param answer: Its answer, with the peer's number of the exchange.
    """

    attempt: int
    answer: MergedAnswer | ErrorAnswer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProbePeer:
    """Ask a peer whether it can be reached; one event tells.

    :param peer: The peer.
    :param timeout_s: Seconds after which it can't.
    """

    peer: NodeEntry
    timeout_s: float
