"""Steps about start-up readiness and the order of a graceful shutdown."""

import random

import behave
from node_settings import make_settings_data

from bluebellbay.coordination.core import Core
from bluebellbay.coordination.part import Part
from bluebellbay.coordination.shutdown import ShutdownPart
from bluebellbay.protocol.event import AdmissionClosed
from bluebellbay.protocol.event import ConfigurationChanged
from bluebellbay.protocol.event import QueriesDrained
from bluebellbay.protocol.event import ServerPolled
from bluebellbay.protocol.event import SharesClosed
from bluebellbay.protocol.event import SharesReleased
from bluebellbay.protocol.key_range import FULL_KEY_RANGE
from bluebellbay.protocol.key_range import KEY_SPACE_END
from bluebellbay.protocol.key_range import KeyRange
from bluebellbay.protocol.leg import Holding
from bluebellbay.protocol.process import ReportHealth
from bluebellbay.protocol.process import ShutdownRequested
from bluebellbay.protocol.process import StopProcess
from bluebellbay.protocol.process import TimerTick
from bluebellbay.settings import parse_settings
from bluebellbay.state.server import ServerRecord

INDEX = "press-desk"
MIDDLE_KEY = KEY_SPACE_END // 2


class EventRecorder(Part):
    """Records the internal events of the shutdown with their times."""

    @property
    def event_types(self):
        return (AdmissionClosed, SharesReleased)

    def step(self, event, now):
        self.state.recorded.append((now, type(event)))
        return ()


@behave.given(
    "a node with a balancer lag of {lag_s:g} s "
    "and a shutdown limit of {limit_s:g} s"
)
def make_node(context, lag_s, limit_s):
    shutdown = {"balancer_lag_s": lag_s, "limit_s": limit_s}
    context.core = Core(
        settings=parse_settings(make_settings_data(shutdown=shutdown)).ok,
        rng=random.Random(1),  # noqa: S311
        parts=(ShutdownPart, EventRecorder),
    )
    context.recorded = context.core.state.recorded = []
    context.health_reports = []


def feed(context, event, now):
    for command in context.core.step(event, now):
        if isinstance(command, ReportHealth | StopProcess):
            context.recorded.append((now, type(command)))
        if isinstance(command, ReportHealth):
            reported = "healthy" if command.healthy else "leaving"
            context.health_reports.append(f"{reported} at {now:g} s")


@behave.when("shutdown is requested at {now:g} s")
def request_shutdown(context, now):
    feed(context, ShutdownRequested(), now)


@behave.when("a configuration takes effect at {now:g} s")
def put_configuration_in_force(context, now):
    feed(context, ConfigurationChanged(revision=int(now)), now)


@behave.when("a server that holds half the key space is polled at {now:g} s")
def add_half_server(context, now):
    add_server(context, "a", KeyRange(start=0, end=MIDDLE_KEY), now)


@behave.when("a server that holds the other half is polled at {now:g} s")
def add_other_half_server(context, now):
    add_server(
        context, "b", KeyRange(start=MIDDLE_KEY, end=KEY_SPACE_END), now
    )


@behave.when(
    "a server that holds the whole key space is polled at {now:g} s "
    "without a connection share"
)
def add_server_without_connection(context, now):
    add_server(context, "c", FULL_KEY_RANGE, now, share=0)


def add_server(context, name, key_range, now, share=1):
    servers = context.core.state.servers
    servers.servers[name] = ServerRecord(
        name=name,
        address="10.0.0.1:1",
        failure_domain="fd-1",
        index=INDEX,
        service=name,
        slots=2,
        connection_limit=25,
        incarnation=1,
        added_at=now,
        connection_share=share,
    )
    servers.holdings[INDEX].set_holdings(
        server=name,
        service=name,
        holdings=(
            Holding(snapshot=1, start=key_range.start, end=key_range.end),
        ),
    )
    feed(context, ServerPolled(server=name, report=None), now)


@behave.then('the health reported to the balancer is "{health_reports}"')
def check_health_reports(context, health_reports):
    assert ", ".join(context.health_reports) == health_reports, (
        context.health_reports
    )


@behave.then("no health has been reported to the balancer")
def check_no_health_report(context):
    assert not context.health_reports, context.health_reports


@behave.when("the clock reaches {now:g} s")
def pass_time(context, now):
    wake_at = context.core.get_wakeup_time()
    if wake_at is not None and wake_at <= now:
        feed(context, TimerTick(), now)


@behave.when("its requests are drained at {now:g} s")
def finish_draining(context, now):
    feed(context, QueriesDrained(), now)


@behave.when("its connections are closed at {now:g} s")
def finish_closing(context, now):
    feed(context, SharesClosed(), now)


def check_last_recorded(context, now, kind):
    assert context.recorded[-1] == (now, kind), context.recorded


@behave.then("at {now:g} s it reports that it is leaving")
def check_reported_leaving(context, now):
    check_last_recorded(context, now, ReportHealth)
    assert len(context.recorded) == 1, context.recorded


@behave.then("the node has emitted nothing else")
def check_nothing_recorded(context):
    assert len(context.recorded) == 1, context.recorded


@behave.then("at {now:g} s its admission is closed")
def check_admission_closed(context, now):
    check_last_recorded(context, now, AdmissionClosed)


@behave.then("at {now:g} s it releases its connections")
def check_connections_released(context, now):
    check_last_recorded(context, now, SharesReleased)


@behave.then("at {now:g} s its process stops")
def check_process_stopped(context, now):
    check_last_recorded(context, now, StopProcess)
    kinds = [kind for _, kind in context.recorded]
    assert kinds.count(StopProcess) == 1, kinds
