"""Steps about rate limits that replicas name in their answers."""

from answer_history import build_headers
import behave

from bluebellbay.transport.connection import CallAnswered
from bluebellbay_platform.condition import decode_condition
from bluebellbay_platform.wire import PlatformWire


@behave.then('an answer with each of "{headers}" names a rate of "{rate}"')
def check_decoded(context, headers, rate):
    del context
    for one in headers.split(" / "):
        # A list in one header stands with semicolons in the table.
        condition = decode_condition(
            tuple(
                (name, value.replace(b";", b","))
                for name, value in build_headers(one)
            )
        )
        words = [str(condition.rate_per_s or "none")]
        words += ["junk"] * bool(condition.unreadable)
        assert " ".join(words) == rate, (one, condition)
        unreadable = rate == "none junk"
        assert condition.rate_unreadable is unreadable, condition


@behave.then("no caller sees a replica's rate limit")
def check_not_forwarded(context):
    del context
    headers = ((b"server-limit", b"3"),)
    for status in (200, 429, 500, 503):
        answer = CallAnswered(status=status, body=b"", headers=headers)
        assert not PlatformWire().decode_reply(answer).forwarded, status
