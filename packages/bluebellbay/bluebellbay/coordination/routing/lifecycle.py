"""Readiness, and graceful shutdown."""

from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.exchange import ExchangePart
from bluebellbay.coordination.routing.objective import count_required_shards
from bluebellbay.coordination.routing.part import EventHandlers
from bluebellbay.coordination.routing.part import RoutingPart
from bluebellbay.protocol.delegation import PeerProbed
from bluebellbay.protocol.delegation import ReplicaProbed
from bluebellbay.protocol.process import ReportHealth
from bluebellbay.protocol.process import ShutdownRequested
from bluebellbay.protocol.process import StopProcess
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.registry import CallersDrained
from bluebellbay.protocol.registry import ConfigurationReceived
from bluebellbay.protocol.registry import DrainCallers
from bluebellbay.protocol.registry import ReplicaRemoved
from bluebellbay.protocol.registry import ReplicasListed
from bluebellbay.protocol.registry import ReplicaUpdated
from bluebellbay.protocol.registry import SetKeepAlive

# The load balancer removes a node after two health checks, 1 s apart.
BALANCER_LAG_S = 3.0
CHECK_INTERVAL_S = 0.05
# Kept free at the end of the grace period to write the last answers.
FLUSH_RESERVE_S = 0.4


class LifecyclePart(RoutingPart):
    """Reports readiness, and stops the process once requests have ended.

    A shutdown lets the balancer take the node out first. Then no further
    connections are accepted, and the process stops once those of callers are
    closed, each after its last answer, and all requests have ended. What is
    open at the end of the grace period is answered then.

    :param context: State and services shared by all requests of the node.
    :param exchanges: Counts the requests in progress.
    """

    def __init__(
        self,
        *,
        context: RoutingContext,
        exchanges: ExchangePart,
    ) -> None:
        super().__init__(context=context)
        self._exchanges = exchanges
        self._ready = False
        self._check_at: float | None = None
        self._callers_drained = False

    def list_handlers(self) -> EventHandlers:
        """Return the handler of each type of event."""
        return {
            ConfigurationReceived: self._update,
            ReplicasListed: self._update,
            ReplicaUpdated: self._update,
            ReplicaRemoved: self._update,
            PeerProbed: self._update,
            ReplicaProbed: self._update,
            ShutdownRequested: self._handle_shutdown,
            CallersDrained: self._handle_drained,
            TimerTick: self._update,
        }

    def get_wakeup_time(self) -> float | None:
        """Return the time of the next wake-up, if one is scheduled."""
        return self._check_at

    def _handle_shutdown(self, event: ShutdownRequested, now: float) -> None:
        self._begin_shutdown(now)
        self._update(event, now)

    def _handle_drained(self, event: CallersDrained, now: float) -> None:
        del event
        self._callers_drained = True
        self._stop_if_done(now)

    def _update(self, event: object, now: float) -> None:
        del event
        self._report_readiness(now)
        if self._check_at is not None and now >= self._check_at:
            self._stop_if_done(now)

    def _report_readiness(self, now: float) -> None:
        ready = (
            not self.state.draining
            and self.state.routes.configuration is not None
            and len(self.state.replicas) > 0
            and not (self._knows_a_part() and self._lacks_shards(now))
        )
        if ready == self._ready:
            return
        self._ready = ready
        self.context.emit(ReportHealth(healthy=ready))
        self.context.emit(SetKeepAlive(allowed=ready))
        self.context.log(
            "Ready to serve requests."
            if ready
            else "Not ready to serve requests.",
            version=self.state.routes.version,
            replicas=len(self.state.replicas),
            draining=self.state.draining,
        )

    def _knows_a_part(self) -> bool:
        return self.state.isolated or not self.state.replicas_listed

    def _lacks_shards(self, now: float) -> bool:
        configuration = self.state.routes.configuration
        if configuration is None:
            return True
        for route in configuration.routes:
            if route.scatter is None:
                continue
            shards = route.scatter.shards
            usable = sum(
                self.context.selector.has_usable(shard, now)
                for shard in shards
            )
            if usable < count_required_shards(
                len(shards), route.scatter.min_coverage
            ):
                return True
        return False

    def _begin_shutdown(self, now: float) -> None:
        if self.state.draining:
            return
        self._check_at = now + BALANCER_LAG_S
        self.state.stop_by = now + self.state.rules.grace_s - FLUSH_RESERVE_S
        self.context.log(
            "Shutting down once open requests have ended.",
            open_requests=self._exchanges.open_count,
        )

    def _stop_if_done(self, now: float) -> None:
        stop_by = self.state.stop_by
        if stop_by is None or self._check_at is None:
            return
        open_count = self._exchanges.open_count
        if self.state.takes_callers:
            self.state.takes_callers = False
            self.context.log(
                "Accepting no further connections.", open_requests=open_count
            )
            self.context.emit(DrainCallers())
        done = self._callers_drained and not open_count
        if not done and now < stop_by:
            self._check_at = now + CHECK_INTERVAL_S
            return
        self._check_at = None
        self.context.log("Stopping the process.", open_requests=open_count)
        self._exchanges.end_all(now)
        self.context.emit(StopProcess())
