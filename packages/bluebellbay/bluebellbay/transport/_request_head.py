"""Request head validation that the HTTP parser doesn't do."""

from collections.abc import Sequence

from bluebellbay.protocol.route import CallerLimits
from bluebellbay.transport.connection import Header

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
# Colon, space and CRLF.
HEADER_LINE_OVERHEAD_BYTES = 4


class RejectedRequest(Exception):
    """A request is invalid or over a limit.

    :param status: HTTP status to reject it with.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


def validate_head(
    headers: Sequence[Header], target: bytes, limits: CallerLimits
) -> None:
    """Check a head against the limits and for ambiguous framing.

    Requests that two HTTP parsers could read differently are rejected, which
    prevents request smuggling.

    :param headers: Name and value pairs, names in lower case.
    :param target: Path and query.
    :param limits: Largest head and body in bytes.
    :raises RejectedRequest: If the head is too large or ambiguous, or the
        stated body length is over the limit.
    """
    size = len(target) + sum(
        len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES
        for name, value in headers
    )
    if size > limits.header_bytes:
        raise RejectedRequest(HEADERS_TOO_LARGE)
    names = [name for name, _ in headers]
    lengths = [value for name, value in headers if name == b"content-length"]
    if (
        names.count(b"host") != 1
        or len(lengths) > 1
        or (lengths and b"transfer-encoding" in names)
        or not target.startswith(b"/")
    ):
        raise RejectedRequest(BAD_REQUEST)
    for length in lengths:
        if not length.isdigit():
            raise RejectedRequest(BAD_REQUEST)
        if int(length) > limits.body_bytes:
            raise RejectedRequest(BODY_TOO_LARGE)
