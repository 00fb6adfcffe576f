"""Prometheus metrics of a query node."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.command import SendLeg
from bluebellbay.protocol.event import Event
from bluebellbay.protocol.event import LegFailed
from bluebellbay.protocol.event import LegRefused
from bluebellbay.protocol.event import LegReplied
from bluebellbay.protocol.event import PeerMessageDropped
from bluebellbay.protocol.event import PeerMessageReceived
from bluebellbay.protocol.event import StoreCallFailed

LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.02,
    0.03,
    0.05,
    0.075,
    0.1,
    0.15,
    0.2,
    0.26,
    0.35,
    0.5,
    0.75,
    1.0,
    2.0,
    5.0,
    15.0,
    60.0,
)
COVERAGE_BUCKETS = (0.5, 0.8, 0.9, 0.95, 0.98, 0.99, 0.999, 1.0)


class Metrics:
    """Counters, gauges and histograms of one node.

    :param registry: Registry that the metrics are added to.
    :param is_known_profile: Returns whether the configuration in force has a
        profile of the given name.
    """

    def __init__(
        self,
        *,
        registry: CollectorRegistry,
        is_known_profile: Callable[[str], bool],
    ) -> None:
        self.registry = registry
        self._is_known_profile = is_known_profile
        self._latency = Histogram(
            "bluebellbay_answer_seconds",
            "Time from a request's arrival to its answer.",
            ("profile", "outcome"),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._coverage = Histogram(
            "bluebellbay_answer_coverage",
            "Coverage of answers that carry rows, as a fraction.",
            ("profile",),
            buckets=COVERAGE_BUCKETS,
            registry=registry,
        )
        self._errors = Counter(
            "bluebellbay_errors",
            "Answers with an error.",
            ("profile", "kind"),
            registry=registry,
        )
        self._legs = Counter(
            "bluebellbay_legs",
            "Legs sent to backend servers; extra ones are hedges and retries "
            "of a range that may have run already.",
            ("profile", "extra"),
            registry=registry,
        )
        self._leg_ends = Counter(
            "bluebellbay_leg_ends",
            "Legs by the way they ended.",
            ("end",),
            registry=registry,
        )
        self._unexpected_errors = Counter(
            "bluebellbay_unexpected_errors",
            "Events and commands that met an unexpected error.",
            registry=registry,
        )
        self._cancelled_legs = Counter(
            "bluebellbay_legs_cancelled",
            "Legs that were no longer wanted.",
            registry=registry,
        )
        self._peer_messages_received = Counter(
            "bluebellbay_peer_messages_received",
            "Messages taken from peers.",
            registry=registry,
        )
        self._peer_messages_sent = Counter(
            "bluebellbay_peer_messages_sent",
            "Messages given to the sockets for peers.",
            registry=registry,
        )
        self._peer_messages_dropped = Counter(
            "bluebellbay_peer_messages_dropped",
            "Messages from peers that were unreadable, forged or replayed.",
            registry=registry,
        )
        self._store_calls = Counter(
            "bluebellbay_store_calls",
            "Calls of the platform's store, each watch as one.",
            ("call",),
            registry=registry,
        )
        self._store_failures = Counter(
            "bluebellbay_store_failures",
            "Calls of the platform's store that failed.",
            registry=registry,
        )
        self._requests_in_flight = Gauge(
            "bluebellbay_requests_in_flight",
            "Requests of callers that have no answer yet.",
            registry=registry,
        )
        self._configuration_revision = Gauge(
            "bluebellbay_configuration_revision",
            "Configuration revision in force.",
            registry=registry,
        )
        self._core_seconds = Counter(
            "bluebellbay_core_seconds",
            "Time spent in the decision core.",
            registry=registry,
        )
        self._event_counters = {
            LegReplied: self._leg_ends.labels(end="replied"),
            LegRefused: self._leg_ends.labels(end="refused"),
            LegFailed: self._leg_ends.labels(end="failed"),
            PeerMessageReceived: self._peer_messages_received,
            PeerMessageDropped: self._peer_messages_dropped,
            StoreCallFailed: self._store_failures,
        }

    def observe_answer(self, answer: Answer, latency_s: float) -> None:
        """Record outcome, latency, error and coverage of an answer.

        :param answer: The answer.
        :param latency_s: Seconds from the request's arrival to its answer.
        """
        profile = self._get_profile_label(answer)
        self._latency.labels(
            profile=profile, outcome=answer.outcome.value
        ).observe(latency_s)
        if answer.error is not None:
            self._errors.labels(profile=profile, kind=answer.error.kind).inc()
            return
        self._coverage.labels(profile=profile).observe(
            answer.coverage.fraction
        )

    def count_event(self, event: Event) -> None:
        """Count the end of a leg, a peer message or a store failure.

        :param event: The event; other types are ignored.
        """
        counter = self._event_counters.get(type(event))
        if counter is not None:
            counter.inc()

    def count_leg(self, command: SendLeg) -> None:
        """Count a leg sent to a backend server.

        :param command: Command that sends the leg.
        """
        self._legs.labels(
            profile=command.profile, extra="yes" if command.extra else "no"
        ).inc()

    def count_unexpected_error(self) -> None:
        """Count an event or command that met an unexpected error."""
        self._unexpected_errors.inc()

    def count_cancelled_leg(self) -> None:
        """Count a leg cancelled because its reply is no longer needed."""
        self._cancelled_legs.inc()

    def count_store_call(self, call: str) -> None:
        """Count a call to the platform's store.

        :param call: ``read``, ``write`` or ``watch``.
        """
        self._store_calls.labels(call=call).inc()

    def count_sent_peer_message(self) -> None:
        """Count a message passed to the socket of a peer."""
        self._peer_messages_sent.inc()

    def count_core_time(self, spent_s: float) -> None:
        """Add to the time spent in the decision core.

        :param spent_s: Duration of one step in seconds.
        """
        self._core_seconds.inc(spent_s)

    def set_gauges(self, *, in_flight: int, revision: int) -> None:
        """Update the gauges before the registry is exported.

        :param in_flight: Number of requests that have no answer yet.
        :param revision: Revision of the configuration in force.
        """
        self._requests_in_flight.set(in_flight)
        self._configuration_revision.set(revision)

    def _get_profile_label(self, answer: Answer) -> str:
        # Callers choose the name: a time series for each unknown one would
        # let them grow the registry without bound.
        return answer.profile if self._is_known_profile(answer.profile) else ""
