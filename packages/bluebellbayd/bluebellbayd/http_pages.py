"""Pages for the balancer and for the collector of metrics."""

from collections.abc import Callable
from typing import Any

from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest
from twisted.web.resource import Resource
from twisted.web.server import Site

OK = 200
UNAVAILABLE = 503


class HealthPage(Resource):
    """Says whether new requests are welcome."""

    isLeaf = True  # noqa: N815

    def __init__(self) -> None:
        super().__init__()
        self.ready = False

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Answer a health check.

        :param request: The request.
        """
        request.setResponseCode(OK if self.ready else UNAVAILABLE)
        return b""


class MetricsPage(Resource):
    """Prints the metrics.

    :param read: Gives the registry, brought up to date.
    """

    isLeaf = True  # noqa: N815

    def __init__(
        self, *, read_registry: Callable[[], CollectorRegistry]
    ) -> None:
        super().__init__()
        self._read_registry = read_registry

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Answer a collector.

        :param request: The request.
        """
        request.setHeader(b"content-type", b"text/plain; charset=utf-8")
        return generate_latest(self._read_registry())


def build_site(page: Resource) -> Site:
    """Serve a page at each path.

    :param page: The page.
    :returns: The site, which writes no access log.
    """
    return _NoAccessLogSite(page)


class _NoAccessLogSite(Site):
    noisy = False
    displayTracebacks = False  # noqa: N815

    def log(self, request: Any) -> None:
        """Write no access log.

        :param request: The request.
        """
