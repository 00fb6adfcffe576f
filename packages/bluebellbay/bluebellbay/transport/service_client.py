"""HTTP client of a service of the platform or of an entry VM."""

from collections.abc import Callable
from typing import Any
from urllib.parse import urlsplit

from twisted.internet.defer import Deferred

from bluebellbay.transport.connection import CallEnd
from bluebellbay.transport.connection import ResponseForm
from bluebellbay.transport.pool import ConnectionPool
from bluebellbay.transport.pool import PooledCall

HTTP_PORT = 80
MAX_CONNECTIONS = 64
MAX_RESPONSE_BYTES = 4_194_304
RESPONSE_FORM = ResponseForm(max_body_bytes=MAX_RESPONSE_BYTES)


class ServiceClient:
    """Makes HTTP calls to one service.

    :param reactor: Twisted reactor.
    :param url: Base URL of the service.
    :param timeout_s: Time-out of a call in seconds.
    """

    def __init__(self, *, reactor: Any, url: str, timeout_s: float) -> None:
        self.timeout_s = timeout_s
        target = urlsplit(url)
        self._base_path = target.path.rstrip("/")
        self._pool = ConnectionPool(
            reactor=reactor,
            address=f"{target.hostname}:{target.port or HTTP_PORT}",
            limit=MAX_CONNECTIONS,
            report_in_force=lambda limit: None,
        )

    def call(
        self,
        method: str,
        path: str,
        report: Callable[[CallEnd], None],
        *,
        body: bytes | None = None,
        timeout_s: float | None = None,
    ) -> None:
        """Make a call, without retries or redirects.

        :param method: HTTP method.
        :param path: Path and query of the URL.
        :param report: Called exactly once, with the result of the call.
        :param body: Request body.
        :param timeout_s: Time-out in seconds in place of the client's.
        """
        self._pool.submit(
            PooledCall(
                method=method.encode(),
                path=(self._base_path + path).encode(),
                build_body=None if body is None else lambda: body,
                timeout_s=timeout_s or self.timeout_s,
                form=RESPONSE_FORM,
                report=report,
            )
        )

    def stop(self) -> Deferred[None]:
        """Fail all calls and close all connections.

        :returns: Fires once they are closed.
        """
        return self._pool.stop()
