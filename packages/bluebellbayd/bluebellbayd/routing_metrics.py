"""Prometheus metrics of a node that routes requests to replicas."""

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

from bluebellbay.protocol.exchange import AttemptFailed
from bluebellbay.protocol.exchange import AttemptRefused
from bluebellbay.protocol.exchange import AttemptReplied
from bluebellbay.protocol.exchange import ErrorAnswer
from bluebellbay.protocol.exchange import ExchangeAbandoned
from bluebellbay.protocol.exchange import ExchangeAnswer
from bluebellbay.protocol.exchange import MergedAnswer
from bluebellbay.protocol.quota import LenderAnswered
from bluebellbay.protocol.quota import LenderFailed
from bluebellbay.protocol.quota import QuotaAnswer
from bluebellbay.protocol.rate_permit import PermitAnswer
from bluebellbay.protocol.rate_permit import PermitAnswered
from bluebellbay.protocol.rate_permit import PermitFailed
from bluebellbay.protocol.registry import StoreListed
from bluebellbay.state.router import RouterState
from bluebellbay.state.store_picture import RestoredItem

LATENCY_BUCKETS_S = (
    0.01,
    0.02,
    0.03,
    0.05,
    0.07,
    0.1,
    0.15,
    0.2,
    0.25,
    0.35,
    0.5,
    0.8,
    1.0,
    2.0,
    5.0,
    10.0,
)


class RoutingMetrics:
    """Counters, gauges and histograms of one routing node.

    :param registry: Registry that the metrics are added to.
    """

    def __init__(self, *, registry: CollectorRegistry) -> None:
        self.registry = registry
        self._latency = Histogram(
            "bluebellbay_exchange_seconds",
            "Time from a request's arrival to its answer.",
            ("outcome",),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._attempt_ends = Counter(
            "bluebellbay_attempt_ends",
            "Attempts at replicas, by how they ended.",
            ("end",),
            registry=registry,
        )
        self._missing_shards = Counter(
            "bluebellbay_missing_shards",
            "Shards left out of answers.",
            registry=registry,
        )
        self._callers_left = Counter(
            "bluebellbay_callers_left",
            "Callers that left before their answer.",
            registry=registry,
        )
        self._unreadable_requests = Counter(
            "bluebellbay_unreadable_requests",
            "Requests that could not be read, by status.",
            ("status",),
            registry=registry,
        )
        self._unreadable_items = Counter(
            "bluebellbay_unreadable_items",
            "Items of the store that could not be read.",
            registry=registry,
        )
        self._core_seconds = Counter(
            "bluebellbay_core_seconds",
            "Time spent on decisions.",
            registry=registry,
        )
        self._unexpected_errors = Counter(
            "bluebellbay_unexpected_errors",
            "Events and commands that met an unexpected error.",
            registry=registry,
        )
        self._dropped_log_lines = Counter(
            "bluebellbay_dropped_log_lines",
            "Log lines left out to bound the log.",
            registry=registry,
        )
        self._configuration_version = Gauge(
            "bluebellbay_configuration_version",
            "Version of the configuration in force.",
            registry=registry,
        )
        self._replicas = Gauge(
            "bluebellbay_replicas", "Replicas known.", registry=registry
        )
        self._store_silent_seconds = Gauge(
            "bluebellbay_store_silent_seconds",
            "Time since the store's last answer to a watch or a check.",
            registry=registry,
        )
        self._store_era = Gauge(
            "bluebellbay_store_era",
            "Number of the store's era; it rises when the store comes back "
            "from a copy.",
            registry=registry,
        )
        self._restored_items = Gauge(
            "bluebellbay_restored_items",
            "Items that a restored store showed as of before, by what became "
            "of them, since the start.",
            ("outcome",),
            registry=registry,
        )
        self._store_listings = Counter(
            "bluebellbay_store_listings",
            "Readings of all items of the store, by how they ended.",
            ("end",),
            registry=registry,
        )
        self._cold_replicas = Gauge(
            "bluebellbay_cold_replicas",
            "Replicas that are warming up.",
            registry=registry,
        )
        self._paced_replicas = Gauge(
            "bluebellbay_paced_replicas",
            "Replicas that came back and get a part of the work.",
            registry=registry,
        )
        self._leaving_replicas = Gauge(
            "bluebellbay_leaving_replicas",
            "Replicas known that are leaving by their answers.",
            registry=registry,
        )
        self._quiet_replicas = Gauge(
            "bluebellbay_quiet_replicas",
            "Replicas known that asked for no requests for some time.",
            registry=registry,
        )
        self._replica_rate_limits = Gauge(
            "bluebellbay_replica_rate_limits",
            "Replicas known that name a limit on their rate of requests.",
            registry=registry,
        )
        self._evacuated_domains = Gauge(
            "bluebellbay_evacuated_domains",
            "Failure domains that are evacuated, known or not.",
            registry=registry,
        )
        self._quota_asks = Counter(
            "bluebellbay_quota_asks",
            "Asks for requests of a client account, by the lender's answer.",
            ("end",),
            registry=registry,
        )
        self._quota_loans = Counter(
            "bluebellbay_quota_loans",
            "Answers to peers that asked for requests of a client account.",
            ("answer",),
            registry=registry,
        )
        self._permit_asks = Counter(
            "bluebellbay_permit_asks",
            "Asks for a request to a replica that names a rate limit, by the "
            "lender's answer.",
            ("end",),
            registry=registry,
        )
        self._permit_loans = Counter(
            "bluebellbay_permit_loans",
            "Answers to peers that asked for a request to a replica that "
            "names a rate limit.",
            ("answer",),
            registry=registry,
        )
        self._queue_decisions = Counter(
            "bluebellbay_queue_decisions",
            "Requests that waited for room at a service or were refused it.",
            ("decision",),
            registry=registry,
        )
        self._waiting_requests = Gauge(
            "bluebellbay_waiting_requests",
            "Requests that wait for room at a service.",
            registry=registry,
        )
        self._nodes = Gauge(
            "bluebellbay_nodes", "Nodes counted.", registry=registry
        )

    def count_event(self, event: object) -> None:
        """Count the end of an attempt or an ask, or a caller that left.

        :param event: The event; other types are ignored.
        """
        if isinstance(event, AttemptReplied):
            end = "replied" if event.reply.succeeded else "failure"
            self._attempt_ends.labels(end).inc()
        elif isinstance(event, AttemptRefused):
            self._attempt_ends.labels(event.kind.value).inc()
        elif isinstance(event, AttemptFailed):
            self._attempt_ends.labels("lost" if event.sent else "unsent").inc()
        elif isinstance(event, ExchangeAbandoned):
            self._callers_left.inc()
        elif isinstance(event, StoreListed):
            self._store_listings.labels(
                "failed" if event.error else "whole"
            ).inc()

        elif isinstance(event, LenderAnswered):
            self._quota_asks.labels(
                "granted" if event.granted else "refused"
            ).inc()
        elif isinstance(event, LenderFailed):
            self._quota_asks.labels("failed").inc()
        elif isinstance(event, PermitAnswered):
            self._permit_asks.labels(
                "granted" if event.granted else "refused"
            ).inc()
        elif isinstance(event, PermitFailed):
            self._permit_asks.labels("failed").inc()

    def count_permit_answer(self, answer: PermitAnswer) -> None:
        """Count an answer to a peer that asked for a permit.

        :param answer: The answer.
        """
        self._permit_loans.labels(
            "granted" if answer.granted else "refused"
        ).inc()

    def count_lender_answer(self, answer: QuotaAnswer) -> None:
        """Count an answer to a peer's ask.

        :param answer: The answer.
        """
        self._quota_loans.labels(
            "granted" if answer.granted else "refused"
        ).inc()

    def observe_answer(self, answer: ExchangeAnswer, seconds: float) -> None:
        """Record outcome, latency and missing shards of an answer.

        :param answer: The answer.
        :param seconds: Seconds from the request's arrival to its answer.
        """
        outcome = "forwarded"
        if isinstance(answer, ErrorAnswer):
            outcome = answer.kind.value
        elif isinstance(answer, MergedAnswer):
            outcome = "partial" if answer.missing else "whole"
            self._missing_shards.inc(answer.missing)
        self._latency.labels(outcome).observe(seconds)

    def count_rejected_request(self, status: int) -> None:
        """Count a request that was invalid, too large or too slow.

        :param status: HTTP status that it was answered with.
        """
        self._unreadable_requests.labels(str(status)).inc()

    def count_unexpected_error(self) -> None:
        """Count an event or command that met an unexpected error."""
        self._unexpected_errors.inc()

    def count_unreadable_item(self) -> None:
        """Count an item of the store that can't be used."""
        self._unreadable_items.inc()

    def count_core_time(self, seconds: float) -> None:
        """Add to the time spent in the routing core.

        :param seconds: Duration of one step in seconds.
        """
        self._core_seconds.inc(seconds)

    def count_dropped_lines(self, lines: int) -> None:
        """Count log lines that were suppressed or dropped.

        :param lines: Number of lines.
        """
        self._dropped_log_lines.inc(lines)

    def set_store_silence(self, seconds: float | None) -> None:
        """Set the gauge of the time since the store's last answer.

        :param seconds: The time; ``None`` if it never answered.
        """
        self._store_silent_seconds.set(
            float("nan") if seconds is None else seconds
        )

    def record_queues(self, counts: dict[str, int], waiting: int) -> None:
        """Add the decisions on room at services since the last call.

        :param counts: Number of requests by decision.
        :param waiting: Requests that wait now.
        """
        for decision, count in counts.items():
            self._queue_decisions.labels(decision).inc(count)
        self._waiting_requests.set(waiting)

    def set_gauges(self, state: RouterState, now: float) -> None:
        """Update the gauges before the registry is exported.

        :param state: State of the routing core.
        :param now: Current time in seconds.
        """
        self._cold_replicas.set(
            sum(record.cold_until > now for record in state.replicas)
        )
        self._leaving_replicas.set(
            sum(record.leaving for record in state.replicas)
        )
        self._quiet_replicas.set(
            sum(record.quiet_until > now for record in state.replicas)
        )
        self._replica_rate_limits.set(
            sum(
                record.limit is not None and record.limit.per_s is not None
                for record in state.replicas
            )
        )
        self._store_era.set(
            float("nan") if state.store.era is None else state.store.era
        )
        for item in RestoredItem:
            self._restored_items.labels(item.value).set(
                state.store.restored_items[item]
            )
        self._configuration_version.set(state.routes.version)
        self._replicas.set(len(state.replicas))
        self._paced_replicas.set(
            sum(record.pace is not None for record in state.replicas)
        )
        self._evacuated_domains.set(len(state.evacuated_domains))
        self._nodes.set(state.nodes)
