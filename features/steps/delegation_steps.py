"""Steps about the protocol between nodes."""

import behave

from bluebellbay.protocol.delegation import DelegationAnswered
from bluebellbay.protocol.exchange import AttemptFailed
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.exchange import RoutingErrorKind
from bluebellbay.transport.connection import CallAnswered
from bluebellbay.transport.delegation import build_attempt_event
from bluebellbay.transport.delegation import DelegationWire
from bluebellbay.transport.wire import MalformedRequest
from bluebellbay.transport.wire import RequestHead

ATTEMPT = 7
ANSWER = MergedAnswer(
    exchange=0, records=b"0123456789abcdef", digests=("a", "b"), missing=1
)


@behave.when("a peer's answer for 2 shards is encoded and decoded")
def step_round_trip(context):
    written = DelegationWire().encode_answer(ANSWER, close=False)
    body = written.split(b"\r\n\r\n", 1)[1]
    context.event = build_attempt_event(
        ATTEMPT, CallAnswered(status=200, body=body)
    )


@behave.then("the decoded answer equals the original")
def step_round_trip_equal(context):
    expected = DelegationAnswered(attempt=ATTEMPT, answer=ANSWER)
    assert context.event == expected, context.event


@behave.when("a peer answers a query with status {status:d}")
def step_status(context, status):
    end = CallAnswered(status=status, body=b"garbage")
    context.event = build_attempt_event(ATTEMPT, end)


@behave.then("the query was refused and has not run")
def step_refused(context):
    answer = context.event.answer
    assert isinstance(answer, ErrorAnswer)
    assert answer.kind is RoutingErrorKind.REFUSED
    assert not answer.ran


@behave.then("the query has failed and may have run")
def step_failed(context):
    assert isinstance(context.event, AttemptFailed)
    assert context.event.sent


@behave.when("a node gets a query of an older protocol version")
def step_older_version(context):
    head = RequestHead(
        method=b"POST", target=b"/v1/delegated-query", headers=()
    )
    try:
        DelegationWire().decode_request(head, b"")
    except MalformedRequest as error:
        context.error = error


@behave.then("it rejects the query as malformed")
def step_malformed(context):
    assert context.error is not None
