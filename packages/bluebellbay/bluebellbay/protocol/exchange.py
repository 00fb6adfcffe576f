"""Events and commands of routed requests, from arrival to answer."""

import dataclasses
import enum

from bluebellbay.protocol.replica import ReplicaCondition
from bluebellbay.protocol.replica import ReplicaEntry
from bluebellbay.protocol.replica import UNKNOWN_CONDITION

MAX_ANSWER_BYTES = 16_777_216
# A shard's reply is a small part of an answer.
MAX_SHARD_REPLY_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DelegationTerms:
    """Terms under which a peer runs part of a query for another node.

    They carry every value that depends on the configuration, because the
    query is answered by that of the delegating node, not of the peer.

    :param shards: Names of the services that hold the requested shards.
    :param objective_s: Seconds from the sending of the query until its answer
        is due at the node that sent it.
    :param most_records: Maximum number of records in the answer; the greatest
        are kept.
    :param most_attempts: Maximum number of replicas of a shard that the peer
        may query.
    :param resumes: Set if the peer answered a part of the query before and
        the shards are those still pending there: the exchange of that answer.
        The peer sends no attempts then.
    :param repeat: Whether another node may have queried the shards for this
        request before. It counts as an attempt at each shard.
    :param rank: Priority of the request; 0 is the highest.
    """

    shards: tuple[str, ...]
    objective_s: float
    most_records: int
    most_attempts: int
    resumes: int | None = None
    repeat: bool = False
    rank: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutedRequest:
    """A caller's request, as it is forwarded to replicas.

    :param request_id: Id that the caller gave to this attempt.
    :param method: HTTP method.
    :param target: Path and query, unchanged.
    :param host: ``Host`` header.
    :param forwarded: Header lines to forward, each with its line ending.
    :param body: The complete body.
    :param has_body: Whether the request declared a body, possibly empty.
    :param patience_s: Seconds that the caller waits, counted from when it
        sent the request; none if it gave no deadline.
    :param delegation: Set if a peer delegated the request to this node.
    :param credentials: Values of the ``Authorization`` headers; secret, so
        not in the ``repr``. They are forwarded unless accounts are configured.
    :param account: Name of the client account, which replicas are told; empty
        if there is none.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    forwarded: bytes
    body: bytes = b""
    has_body: bool = False
    patience_s: float | None = None
    delegation: DelegationTerms | None = None
    credentials: tuple[bytes, ...] = dataclasses.field(default=(), repr=False)
    account: str = ""

    @property
    def path(self) -> str:
        """The path of the target, without the query string."""
        return self.target.split(b"?", 1)[0].decode("latin-1")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaReply:
    """A replica's complete response.

    :param status: HTTP status code.
    :param digest: Digest with which the replica signs its response; empty if
        it gave none.
    :param forwarded: Header lines to forward to the caller.
    :param body: The body.
    :param denies_run: Whether a caller takes the status for a promise that
        the request did not run, which this replica has not given.
    """

    status: int
    digest: str
    forwarded: bytes
    body: bytes
    denies_run: bool = False

    @property
    def succeeded(self) -> bool:
        """Whether the status is 2xx and the replica signed the response."""
        return 200 <= self.status < 300 and bool(self.digest)


class RefusalKind(enum.Enum):
    """Why a replica did not execute a request."""

    OVERLOADED = "overloaded"
    ADDRESS_REUSED = "another replica has the address"
    INVALID = "invalid"


class RoutingErrorKind(enum.Enum):
    """Why a request is answered with an error instead of a replica's reply.

    ``ErrorAnswer.ran`` says whether the request may have been executed.
    """

    NO_ROUTE = "no route"
    UNAUTHENTICATED = "unauthenticated"
    OVER_QUOTA = "over quota"
    NOT_CONFIGURED = "not configured"
    NO_REPLICA = "no replica"
    OVERLOADED = "overloaded"
    REFUSED = "refused"
    EXPIRED = "expired before it was sent"
    REPLICA_FAILED = "replica failed"
    TIMED_OUT = "timed out"
    TOO_FEW_SHARDS = "too few shards"
    INTERNAL = "internal error"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeOpened:
    """A caller's request was received.

    :param exchange: Unique number of the exchange, one for each request.
    :param request: The request.
    :param age_s: Seconds since the caller began to send the request, or to
        connect for the first request of a connection.
    :param return_s: Seconds that an answer takes to the caller.
    """

    exchange: int
    request: RoutedRequest
    age_s: float
    return_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeAbandoned:
    """A caller disconnected before it was answered.

    :param exchange: Number of the exchange.
    """

    exchange: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptReplied:
    """A replica replied to an attempt.

    :param attempt: Number of the attempt.
    :param reply: The reply.
    :param condition: What it tells of the replica.
    """

    attempt: int
    reply: ReplicaReply
    condition: ReplicaCondition = UNKNOWN_CONDITION


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptRefused:
    """A replica reported that it did not execute an attempt.

    :param attempt: Number of the attempt.
    :param kind: Reason of the refusal.
    :param condition: What it tells of the replica.
    """

    attempt: int
    kind: RefusalKind
    condition: ReplicaCondition = UNKNOWN_CONDITION


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailed:
    """An attempt ended without a complete reply.

    :param attempt: Number of the attempt.
    :param sent: False only if no byte of the request was written.
    :param reason: Short description of the failure.
    """

    attempt: int
    sent: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendAttempt:
    """Send a request to a replica.

    ``AttemptReplied``, ``AttemptRefused`` or ``AttemptFailed`` reports how it
    ended.

    :param attempt: Number of the attempt.
    :param request: The request.
    :param replica: The replica that must execute it.
    :param deadline_s: Seconds after which the replica stops its work.
    :param max_body_bytes: Largest body of a response.
    """

    attempt: int
    request: RoutedRequest
    replica: ReplicaEntry
    deadline_s: float
    max_body_bytes: int = MAX_ANSWER_BYTES


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelAttempt:
    """Cancel an attempt; its end is still reported, as a failure.

    :param attempt: Number of the attempt.
    """

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardAnswer:
    """Answer a caller with a replica's reply, unchanged.

    :param exchange: Number of the exchange.
    :param reply: The reply.
    """

    exchange: int
    reply: ReplicaReply


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MergedAnswer:
    """Answer a caller with the merged records of several shards.

    :param exchange: Number of the exchange, at the node that answers.
    :param records: The encoded records, the greatest first.
    :param digests: Digests of the replies that were merged.
    :param missing: Number of shards that the answer does not include.
    :param pending: Names of those among them that may still reply; only in
        the answer of a delegated query.
    """

    exchange: int
    records: bytes
    digests: tuple[str, ...]
    missing: int
    pending: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ErrorAnswer:
    """Answer a caller with an error.

    :param exchange: Number of the exchange.
    :param kind: The error.
    :param ran: Whether the request may have been executed.
    :param retry_after_s: Seconds after which a retry may succeed; none if not
        known.
    """

    exchange: int
    kind: RoutingErrorKind
    ran: bool
    retry_after_s: float | None = None


ExchangeAnswer = ForwardAnswer | MergedAnswer | ErrorAnswer
