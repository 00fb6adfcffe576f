"""HTTP pages for the balancer's health checks and for Prometheus."""

from collections.abc import Callable
from typing import Any

from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest
from twisted.web.resource import Resource
from twisted.web.server import Site

OK = 200
UNAVAILABLE = 503


class HealthPage(Resource):
    """Answers health checks by the attribute ``ready``.

    The status is 200 while the node accepts new requests and 503 otherwise.
    """

    isLeaf = True  # noqa: N815

    def __init__(self) -> None:
        super().__init__()
        self.ready = False

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Set the status of the response.

        :param request: HTTP request of the health check.
        :returns: An empty body.
        """
        request.setResponseCode(OK if self.ready else UNAVAILABLE)
        return b""


class MetricsPage(Resource):
    """Exports metrics in the text format of Prometheus.

    :param read_registry: Updates the metrics and returns their registry.
    """

    isLeaf = True  # noqa: N815

    def __init__(
        self, *, read_registry: Callable[[], CollectorRegistry]
    ) -> None:
        super().__init__()
        self._read_registry = read_registry

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Export the metrics.

        :param request: HTTP request of the metrics collector.
        :returns: The metrics in UTF-8.
        """
        request.setHeader(b"content-type", b"text/plain; charset=utf-8")
        return generate_latest(self._read_registry())


def build_site(page: Resource) -> Site:
    """Build a site that serves one page and writes no access log.

    :param page: A leaf resource, served at every path.
    :returns: The site.
    """
    return _NoAccessLogSite(page)


class _NoAccessLogSite(Site):
    noisy = False
    displayTracebacks = False  # noqa: N815

    def log(self, request: Any) -> None:
        """Override the access log to write nothing.

        :param request: The request that is not logged.
        """
