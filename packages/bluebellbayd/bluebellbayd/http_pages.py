"""HTTP pages for the balancer's health checks and for Prometheus."""

import abc
from collections.abc import Callable
import dataclasses
from typing import Any

from prometheus_client import CollectorRegistry
from prometheus_client import CONTENT_TYPE_PLAIN_0_0_4
from prometheus_client import generate_latest
from twisted.web.http import HTTPFactory
from twisted.web.http import NOT_ALLOWED
from twisted.web.http import OK
from twisted.web.http import Request
from twisted.web.http import SERVICE_UNAVAILABLE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PageContent:
    """The response to a request for a page.

    :param status: HTTP status.
    :param body: Text in UTF-8.
    """

    status: int
    body: bytes = b""


class Page(abc.ABC):
    """A page that is served at every path."""

    @abc.abstractmethod
    def render(self) -> PageContent:
        """Build the response to a request."""


class HealthPage(Page):
    """Answers health checks by the attribute ``ready``.

    The status is 200 while the node accepts new requests and 503 otherwise.
    """

    def __init__(self) -> None:
        self.ready = False

    def render(self) -> PageContent:
        """Build a response without a body."""
        return PageContent(status=OK if self.ready else SERVICE_UNAVAILABLE)


class MetricsPage(Page):
    """Exports metrics in the text format of Prometheus.

    :param read_registry: Updates the metrics and returns their registry.
    """

    def __init__(
        self, *, read_registry: Callable[[], CollectorRegistry]
    ) -> None:
        self._read_registry = read_registry

    def render(self) -> PageContent:
        """Build a response with all metrics."""
        body = generate_latest(self._read_registry())
        return PageContent(status=OK, body=body)


class PageFactory(HTTPFactory):
    """Serves one page and writes no access log.

    :param page: The page.
    """

    noisy = False

    def __init__(self, *, page: Page) -> None:
        super().__init__()
        self.page = page

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Build the server's side of a connection.

        :param addr: Address of the client.
        """
        channel: Any = super().buildProtocol(addr)
        channel.requestFactory = _PageRequest
        return channel

    def log(self, request: Any) -> None:
        """Override the access log to write nothing.

        :param request: The request that is not logged.
        """


class _PageRequest(Request):
    def process(self) -> None:
        if self.method != b"GET":
            self._write(PageContent(status=NOT_ALLOWED))
            return
        self._write(self.channel.factory.page.render())

    def _write(self, content: PageContent) -> None:
        self.setResponseCode(content.status)
        self.setHeader(b"content-type", CONTENT_TYPE_PLAIN_0_0_4.encode())
        self.setHeader(b"content-length", b"%d" % len(content.body))
        self.write(content.body)
        self.finish()
