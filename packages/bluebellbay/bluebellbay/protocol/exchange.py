"""Requests that are routed to replicas, and how they are answered."""

import dataclasses
import enum

from bluebellbay.protocol.replica import ReplicaEntry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DelegationTerms:
    """What a node asks of a peer that runs part of a query in its place.

    It is the asking node's configuration that the query is answered by, so
    all that hangs on it is told.

    :param shards: Services that hold the shards wanted.
    :param objective_s: Seconds until the answer is wanted.
    :param most_records: Greatest records wanted.
    :param most_attempts: Most replicas of a shard that it may go to.
    """

    shards: tuple[str, ...]
    objective_s: float
    most_records: int
    most_attempts: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutedRequest:
    """A caller's request, as it is passed on.

    :param request_id: The caller's id of this attempt.
    :param method: HTTP method.
    :param target: Path and query, unchanged.
    :param host: ``Host`` header.
    :param forwarded: Header lines that are passed on, each with its line end.
    :param body: The whole body.
    :param has_body: Whether a body was announced, be it empty.
    :param patience_s: Seconds that the caller waits, from its sending; none
        if it did not say.
    :param delegation: Set if a peer asks in place of the caller.
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

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaReply:
    """A replica's answer, whole.

    :param status: HTTP status.
    :param digest: Digest by which the replica signs its answer, if any.
    :param forwarded: Header lines that are passed on to the caller.
    :param body: The body.
    """

    status: int
    digest: str
    forwarded: bytes
    body: bytes

    @property
    def succeeded(self) -> bool:
        """Whether it is a success that the replica stands for."""
        return 200 <= self.status < 300 and bool(self.digest)


class RefusalKind(enum.Enum):
    """Why a replica did not run a request."""

    OVERLOADED = "overloaded"
    ADDRESS_REUSED = "another replica has the address"
    INVALID = "invalid"


class RoutingErrorKind(enum.Enum):
    """Why a request is not answered by a replica's reply.

    Each kind says whether the request may have run.
    """

    NO_ROUTE = "no route"
    NOT_CONFIGURED = "not configured"
    NO_REPLICA = "no replica"
    OVERLOADED = "overloaded"
    REFUSED = "refused"
    EXPIRED = "expired before it was sent"
    REPLICA_FAILED = "replica failed"
    TIMED_OUT = "timed out"
    TOO_FEW_SHARDS = "too few shards"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeOpened:
    """A caller's request was read.

    :param exchange: Number of the exchange, fresh for each request.
    :param request: The request.
    :param age_s: Seconds that it was under way and read, as far as known.
    """

    exchange: int
    request: RoutedRequest
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeAbandoned:
    """A caller left before its answer.

    :param exchange: Number of the exchange.
    """

    exchange: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptReplied:
    """A replica answered an attempt.

    :param attempt: Number of the attempt.
    :param reply: The answer.
    """

    attempt: int
    reply: ReplicaReply


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptRefused:
    """A replica said that it did not run an attempt.

    :param attempt: Number of the attempt.
    :param kind: Why.
    """

    attempt: int
    kind: RefusalKind


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailed:
    """An attempt ended without a whole answer.

    :param attempt: Number of the attempt.
    :param sent: False only if no byte of it was written.
    :param reason: One short phrase.
    """

    attempt: int
    sent: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendAttempt:
    """Send a request to a replica; one event reports how it ended.

    :param attempt: Number of the attempt.
    :param request: The request.
    :param replica: The replica that must run it.
    :param deadline_s: Seconds after which the replica stops its work.
    """

    attempt: int
    request: RoutedRequest
    replica: ReplicaEntry
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelAttempt:
    """Stop an attempt; its end is reported as a failure.

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
    """Answer a caller with the greatest records of many shards.

    :param exchange: Number of the exchange.
    :param records: The records, the greatest first.
    :param digests: Digests of the replies that are in.
    :param missing: Shards that are left out.
    """

    exchange: int
    records: bytes
    digests: tuple[str, ...]
    missing: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ErrorAnswer:
    """Answer a caller that its request was not served.

    :param exchange: Number of the exchange.
    :param kind: Why.
    :param ran: Whether it may have run.
    :param retry_after_s: Seconds after which another try may do better.
    """

    exchange: int
    kind: RoutingErrorKind
    ran: bool
    retry_after_s: float | None = None


ExchangeAnswer = ForwardAnswer | MergedAnswer | ErrorAnswer
