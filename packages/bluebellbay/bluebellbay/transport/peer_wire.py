"""Messages between nodes (peers): queries, probes and asks, by MessagePack."""

import dataclasses
from typing import Annotated

import msgspec

from bluebellbay.protocol.decode_failure import DECODE_EXCEPTIONS
from bluebellbay.protocol.delegation import DelegateQuery
from bluebellbay.protocol.delegation import DelegationAnswered
from bluebellbay.protocol.exchange import AttemptFailed
from bluebellbay.protocol.exchange import DelegationTerms
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeAnswer
from bluebellbay.protocol.exchange import ForwardAnswer
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import RoutedRequest
from bluebellbay.protocol.exchange import RoutingErrorKind
from bluebellbay.protocol.quota import LenderAnswered
from bluebellbay.protocol.quota import LenderFailed
from bluebellbay.protocol.quota import QuotaAnswer
from bluebellbay.protocol.quota import QuotaAsk
from bluebellbay.protocol.rate_permit import PermitAnswer
from bluebellbay.protocol.rate_permit import PermitAnswered
from bluebellbay.protocol.rate_permit import PermitAsk
from bluebellbay.protocol.rate_permit import PermitFailed
from bluebellbay.protocol.rate_permit import RateNews
from bluebellbay.protocol.routing import RoutingEvent
from bluebellbay.transport.connection import CallAnswered
from bluebellbay.transport.connection import CallEnd
from bluebellbay.transport.wire import EntryWire
from bluebellbay.transport.wire import MalformedRequest
from bluebellbay.transport.wire import ProbeRequest
from bluebellbay.transport.wire import RequestHead

METHOD = b"POST"
# The version changes with each encoding that older nodes can't decode.
PATH = b"/v4/delegated-query"
QUOTA_PATH = b"/v1/quota"
PERMIT_PATH = b"/v1/permit"
PROBE_METHOD = b"GET"
PROBE_PATH = b"/v1/probe"
OK = 200
BAD_REQUEST = 400
# What is beyond was not sent by a node of ours.
MAX_RATE = 1e9
MAX_AGE_S = 1e9


class _Query(msgspec.Struct, frozen=True, array_like=True):
    request: RoutedRequest
    terms: DelegationTerms
    deadline_s: float


class _Answer(msgspec.Struct, frozen=True, array_like=True):
    records: bytes
    digests: tuple[str, ...]
    missing: int
    error: RoutingErrorKind | None = None
    ran: bool = False
    pending: tuple[str, ...] = ()
    exchange: int = 0


class _QuotaQuery(msgspec.Struct, frozen=True, array_like=True):
    account: str
    count: Annotated[int, msgspec.Meta(ge=1)]


class _QuotaAnswer(msgspec.Struct, frozen=True, array_like=True):
    granted: Annotated[int, msgspec.Meta(ge=0)]
    room_s: Annotated[float, msgspec.Meta(ge=0)]


class _RateNews(msgspec.Struct, frozen=True, array_like=True):
    per_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_RATE)] | None
    heard_s_ago: Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE_S)]


class _PermitQuery(msgspec.Struct, frozen=True, array_like=True):
    node: str
    replica_id: str
    started_ms: int
    news: _RateNews
    wanted: bool


class _PermitAnswer(msgspec.Struct, frozen=True, array_like=True):
    granted: bool
    room_s: Annotated[float, msgspec.Meta(ge=0)]
    news: _RateNews | None


_Message = _Answer | _QuotaAnswer | _PermitAnswer


class DelegationWire(EntryWire):
    """Decodes queries from peers and encodes their answers."""

    def decode_request(
        self, head: RequestHead, body: bytes
    ) -> RoutedRequest | QuotaAsk | PermitAsk:
        """Decode a peer's query, or what it asks this node for.

        :param head: Head of the HTTP request.
        :param body: The whole body.
        :returns: The caller's request, with the peer's terms and deadline; or
            the ask.
        :raises ProbeRequest: If the peer only checks that this node answers.
        :raises MalformedRequest: If the path is unknown or the body can't be
            decoded.
        """
        if head.method == PROBE_METHOD and head.target == PROBE_PATH:
            raise ProbeRequest
        if head.target == QUOTA_PATH:
            return _decode_ask(body)
        if head.target == PERMIT_PATH:
            return _decode_permit_ask(body)
        if head.target != PATH:
            raise MalformedRequest("unknown path")
        try:
            query = msgspec.msgpack.decode(body, type=_Query)
        except DECODE_EXCEPTIONS as error:
            raise MalformedRequest(str(error)) from error
        return dataclasses.replace(
            query.request,
            delegation=query.terms,
            patience_s=query.deadline_s,
        )

    def encode_answer(
        self,
        answer: ExchangeAnswer | QuotaAnswer | PermitAnswer,
        *,
        close: bool,
    ) -> bytes:
        """Encode the answer to a peer.

        :param answer: The answer.
        :param close: Whether the connection is closed afterwards.
        :returns: Head and body.
        :raises TypeError: If the answer is a forwarded replica response.
        """
        body = msgspec.msgpack.encode(_build_answer(answer))
        connection = b"Connection: close\r\n" if close else b""
        return b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (
            connection,
            len(body),
            body,
        )

    def encode_rejection(self, status: int) -> bytes:
        """Encode the response to an invalid request.

        :param status: HTTP status.
        :returns: Head without body; it announces that the connection closes.
        """
        return (
            b"HTTP/1.1 %d Refused\r\nConnection: close\r\n"
            b"Content-Length: 0\r\n\r\n" % status
        )


def encode_quota_ask(ask: QuotaAsk) -> bytes:
    """Encode an ask for requests of a client account.

    :param ask: The ask.
    :returns: The body.
    """
    return msgspec.msgpack.encode(
        _QuotaQuery(account=ask.account, count=ask.count)
    )


def encode_permit_ask(ask: PermitAsk) -> bytes:
    """Encode an ask for a request to a replica with a rate limit.

    :param ask: The ask.
    :returns: The body.
    """
    news = _RateNews(per_s=ask.news.per_s, heard_s_ago=ask.news.heard_s_ago)
    return msgspec.msgpack.encode(
        _PermitQuery(
            node=ask.node,
            replica_id=ask.replica_id,
            started_ms=ask.started_ms,
            news=news,
            wanted=ask.wanted,
        )
    )


def encode_query(command: DelegateQuery, *, waited_s: float) -> bytes:
    """Encode a query for a peer.

    :param command: The query and its deadline.
    :param waited_s: Seconds for which it has waited since the command.
    :returns: The body.
    """
    terms = dataclasses.replace(
        command.terms,
        objective_s=max(0.0, command.terms.objective_s - waited_s),
    )
    query = _Query(
        request=command.request,
        terms=terms,
        deadline_s=max(0.0, command.deadline_s - waited_s),
    )
    return msgspec.msgpack.encode(query)


def build_attempt_event(number: int, end: CallEnd) -> RoutingEvent:
    """Convert the result of a call to a peer into an event.

    Status 400 means that the peer, of another program version, could not
    decode the query and ran nothing of it.

    :param number: Number of the attempt.
    :param end: Result of the call.
    :returns: The event to report.
    """
    if not isinstance(end, CallAnswered):
        return AttemptFailed(attempt=number, sent=end.sent, reason=end.reason)
    if end.status == BAD_REQUEST:
        refused = ErrorAnswer(
            exchange=0, kind=RoutingErrorKind.REFUSED, ran=False
        )
        return DelegationAnswered(attempt=number, answer=refused)
    answer = _decode_answer(end)
    if answer is None:
        reason = f"unexpected response, status {end.status}"
        return AttemptFailed(attempt=number, sent=True, reason=reason)
    return DelegationAnswered(attempt=number, answer=answer)


def _decode_ask(body: bytes) -> QuotaAsk:
    try:
        query = msgspec.msgpack.decode(body, type=_QuotaQuery)
    except DECODE_EXCEPTIONS as error:
        raise MalformedRequest(str(error)) from error
    return QuotaAsk(account=query.account, count=query.count)


def build_lender_event(
    number: int, end: CallEnd
) -> LenderAnswered | LenderFailed:
    """Convert the result of an ask for requests of an account into an event.

    :param number: Number of the ask.
    :param end: Result of the call.
    :returns: The event to report.
    """
    if not isinstance(end, CallAnswered):
        return LenderFailed(attempt=number, reason=end.reason)
    if end.status != OK:
        reason = f"unexpected response, status {end.status}"
        return LenderFailed(attempt=number, reason=reason)
    try:
        answer = msgspec.msgpack.decode(end.body, type=_QuotaAnswer)
    except DECODE_EXCEPTIONS:
        return LenderFailed(attempt=number, reason="undecodable answer")
    return LenderAnswered(
        attempt=number, granted=answer.granted, room_s=answer.room_s
    )


def _decode_permit_ask(body: bytes) -> PermitAsk:
    try:
        query = msgspec.msgpack.decode(body, type=_PermitQuery)
    except DECODE_EXCEPTIONS as error:
        raise MalformedRequest(str(error)) from error
    return PermitAsk(
        node=query.node,
        replica_id=query.replica_id,
        started_ms=query.started_ms,
        news=_read_news(query.news),
        wanted=query.wanted,
    )


def build_permit_event(
    number: int, end: CallEnd
) -> PermitAnswered | PermitFailed:
    """Convert the result of an ask for a permit into an event.

    :param number: Number of the ask.
    :param end: Result of the call.
    :returns: The event to report.
    """
    if not isinstance(end, CallAnswered):
        return PermitFailed(attempt=number, reason=end.reason)
    if end.status != OK:
        reason = f"unexpected response, status {end.status}"
        return PermitFailed(attempt=number, reason=reason)
    try:
        answer = msgspec.msgpack.decode(end.body, type=_PermitAnswer)
    except DECODE_EXCEPTIONS:
        return PermitFailed(attempt=number, reason="undecodable answer")
    return PermitAnswered(
        attempt=number,
        granted=answer.granted,
        room_s=answer.room_s,
        news=None if answer.news is None else _read_news(answer.news),
    )


def _read_news(news: _RateNews) -> RateNews:
    return RateNews(per_s=news.per_s, heard_s_ago=news.heard_s_ago)


def _build_answer(
    answer: ExchangeAnswer | QuotaAnswer | PermitAnswer,
) -> _Message:
    if isinstance(answer, QuotaAnswer):
        return _QuotaAnswer(granted=answer.granted, room_s=answer.room_s)
    if isinstance(answer, PermitAnswer):
        news = answer.news
        return _PermitAnswer(
            granted=answer.granted,
            room_s=answer.room_s,
            news=None
            if news is None
            else _RateNews(per_s=news.per_s, heard_s_ago=news.heard_s_ago),
        )
    if isinstance(answer, MergedAnswer):
        return _Answer(
            records=answer.records,
            digests=answer.digests,
            missing=answer.missing,
            pending=answer.pending,
            exchange=answer.exchange,
        )
    if isinstance(answer, ForwardAnswer):
        raise TypeError(
            "a delegated query can't be answered by one replica's response"
        )
    return _Answer(
        records=b"", digests=(), missing=0, error=answer.kind, ran=answer.ran
    )


def _decode_answer(end: CallAnswered) -> MergedAnswer | ErrorAnswer | None:
    if end.status != OK:
        return None
    try:
        answer = msgspec.msgpack.decode(end.body, type=_Answer)
    except DECODE_EXCEPTIONS:
        return None
    if answer.error is not None:
        return ErrorAnswer(exchange=0, kind=answer.error, ran=answer.ran)
    return MergedAnswer(
        exchange=answer.exchange,
        records=answer.records,
        digests=answer.digests,
        missing=answer.missing,
        pending=answer.pending,
    )
