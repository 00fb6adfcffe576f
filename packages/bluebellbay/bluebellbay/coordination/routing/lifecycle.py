"""Says when the node is ready, and ends it without cutting requests."""

from bluebellbay.coordination.routing.context import RoutingContext
from bluebellbay.coordination.routing.exchange import ExchangePart
from bluebellbay.coordination.routing.objective import count_least
from bluebellbay.coordination.routing.part import Actions
from bluebellbay.coordination.routing.part import RoutingPart
from bluebellbay.protocol.command import ReportHealth
from bluebellbay.protocol.command import StopProcess
from bluebellbay.protocol.delegation import PeerProbed
from bluebellbay.protocol.delegation import ReplicaProbed
from bluebellbay.protocol.event import ShutdownRequested
from bluebellbay.protocol.event import TimePassed
from bluebellbay.protocol.registry import ConfigurationFound
from bluebellbay.protocol.registry import ReplicaSeen
from bluebellbay.protocol.registry import ReplicasListed
from bluebellbay.protocol.registry import ReplicaUnlisted
from bluebellbay.protocol.registry import SetKeepAlive

# The balancer takes a node out after two health checks, a second apart.
BALANCER_LAG_S = 3.0
CHECK_S = 0.05
# Left of the grace period to write the last answers.
FLUSH_S = 0.4


class LifecyclePart(RoutingPart):
    """Reports readiness and ends the process.

    :param context: What the requests of this node share.
    :param exchanges: The part that runs requests.
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
        self._asked_at: float | None = None
        self._check_at: float | None = None

    def list_actions(self) -> Actions:
        """List what is done for each kind of event."""
        return {
            ConfigurationFound: self._look,
            ReplicasListed: self._look,
            ReplicaSeen: self._look,
            ReplicaUnlisted: self._look,
            PeerProbed: self._look,
            ReplicaProbed: self._look,
            ShutdownRequested: self._take_request,
            TimePassed: self._look,
        }

    def get_wakeup_time(self) -> float | None:
        """Name the time at which ``TimePassed`` is due."""
        return self._check_at

    def _take_request(self, event: ShutdownRequested, now: float) -> None:
        self._begin_shutdown(now)
        self._look(event, now)

    def _look(self, event: object, now: float) -> None:
        del event
        self._report_ready()
        if self._check_at is not None and now >= self._check_at:
            self._check_end(now)

    def _report_ready(self) -> None:
        ready = (
            not self.state.draining
            and self.state.routes.configuration is not None
            and len(self.state.replicas) > 0
            and not (self.state.isolated and self._lacks_shards())
        )
        if ready == self._ready:
            return
        self._ready = ready
        self.context.emit(ReportHealth(healthy=ready))
        self.context.emit(SetKeepAlive(allowed=ready))
        self.context.log(
            "Ready." if ready else "Not ready.",
            version=self.state.routes.version,
            replicas=len(self.state.replicas),
            draining=self.state.draining,
        )

    def _lacks_shards(self) -> bool:
        configuration = self.state.routes.configuration
        if configuration is None:
            return True
        for route in configuration.routes:
            if route.scatter is None:
                continue
            shards = route.scatter.shards
            usable = sum(
                bool(self.context.selector.count_usable(shard))
                for shard in shards
            )
            if usable < count_least(len(shards), route.scatter.least_coverage):
                return True
        return False

    def _begin_shutdown(self, now: float) -> None:
        if self._asked_at is not None:
            return
        self._asked_at = now
        self._check_at = now + BALANCER_LAG_S
        self.state.draining = True
        self.context.log(
            "Shutting down.", open_requests=self._exchanges.open_runs
        )

    def _check_end(self, now: float) -> None:
        if self._asked_at is None:
            return
        open_runs = self._exchanges.open_runs
        latest_at = self._asked_at + self.state.rules.grace_s - FLUSH_S
        if open_runs and now < latest_at:
            self._check_at = now + CHECK_S
            return
        self._check_at = None
        self.context.log("Stopping.", open_requests=open_runs)
        self.context.emit(StopProcess())
