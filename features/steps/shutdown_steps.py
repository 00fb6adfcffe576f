"""Steps about the order in which a node leaves."""

import random

import behave
from node_settings import make_settings_data

from bluebellbay.coordination.core import Core
from bluebellbay.coordination.part import Part
from bluebellbay.coordination.shutdown import ShutdownPart
from bluebellbay.protocol.command import ReportHealth
from bluebellbay.protocol.command import StopProcess
from bluebellbay.protocol.event import AdmissionClosed
from bluebellbay.protocol.event import ConfigurationChanged
from bluebellbay.protocol.event import QueriesDrained
from bluebellbay.protocol.event import ServerPolled
from bluebellbay.protocol.event import SharesClosed
from bluebellbay.protocol.event import SharesGivenUp
from bluebellbay.protocol.event import ShutdownRequested
from bluebellbay.protocol.event import TimePassed
from bluebellbay.protocol.key_range import KEY_SPACE_END
from bluebellbay.protocol.key_range import KeyRange
from bluebellbay.protocol.key_range import WHOLE_SPACE
from bluebellbay.protocol.leg import Holding
from bluebellbay.settings import parse_settings
from bluebellbay.state.server import ServerRecord

INDEX = "press-desk"
MIDDLE = KEY_SPACE_END // 2


class StageRecorder(Part):
    """Keeps the internal events of the shutdown, with their times."""

    @property
    def handles(self):
        return (AdmissionClosed, SharesGivenUp)

    def step(self, event, now):
        self.state.stages.append((now, type(event)))
        return ()


@behave.given(
    "a node with a balancer's lag of {lag_s:g} s and a limit of {limit_s:g} s"
)
def make_leaving_node(context, lag_s, limit_s):
    shutdown = {"balancer_lag_s": lag_s, "limit_s": limit_s}
    context.core = Core(
        settings=parse_settings(make_settings_data(shutdown=shutdown)).ok,
        rng=random.Random(1),  # noqa: S311
        parts=(ShutdownPart, StageRecorder),
    )
    context.stages = context.core.state.stages = []
    context.told = []


def feed(context, event, now):
    for command in context.core.step(event, now):
        if isinstance(command, ReportHealth | StopProcess):
            context.stages.append((now, type(command)))
        if isinstance(command, ReportHealth):
            word = "healthy" if command.healthy else "leaving"
            context.told.append(f"{word} at {now:g} s")


@behave.when("it is asked to end at {now:g} s")
def ask(context, now):
    feed(context, ShutdownRequested(), now)


@behave.when("a configuration comes into force at {now:g} s")
def configure(context, now):
    feed(context, ConfigurationChanged(revision=int(now)), now)


@behave.when("a server of half the key space answers at {now:g} s")
def answer_half(context, now):
    answer_server(context, "a", KeyRange(start=0, end=MIDDLE), now)


@behave.when("a server of the other half answers at {now:g} s")
def answer_other_half(context, now):
    answer_server(context, "b", KeyRange(start=MIDDLE, end=KEY_SPACE_END), now)


@behave.when(
    "a server of all the key space answers at {now:g} s, but has no connection"
)
def answer_without_connection(context, now):
    answer_server(context, "c", WHOLE_SPACE, now, share=0)


def answer_server(context, name, key_range, now, share=1):
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
    servers.holdings[INDEX].set_server(
        server=name,
        service=name,
        holdings=(
            Holding(snapshot=1, start=key_range.start, end=key_range.end),
        ),
    )
    feed(context, ServerPolled(server=name, report=None), now)


@behave.then('the balancer was told "{told}"')
def check_told(context, told):
    assert ", ".join(context.told) == told, context.told


@behave.then('the balancer was told ""')
def check_told_nothing(context):
    assert not context.told, context.told


@behave.when("time comes to {now:g} s")
def pass_time(context, now):
    wake_at = context.core.next_wake()
    if wake_at is not None and wake_at <= now:
        feed(context, TimePassed(), now)


@behave.when("its requests are drained at {now:g} s")
def drain(context, now):
    feed(context, QueriesDrained(), now)


@behave.when("its connections are closed at {now:g} s")
def close(context, now):
    feed(context, SharesClosed(), now)


def check_last(context, now, kind):
    assert context.stages[-1] == (now, kind), context.stages


@behave.then("at {now:g} s it reports itself as leaving")
def check_leaving(context, now):
    check_last(context, now, ReportHealth)
    assert len(context.stages) == 1, context.stages


@behave.then("nothing more has happened to the leaving node")
def check_nothing(context):
    assert len(context.stages) == 1, context.stages


@behave.then("at {now:g} s its admission is closed")
def check_closed(context, now):
    check_last(context, now, AdmissionClosed)


@behave.then("at {now:g} s it gives up its connections")
def check_given_up(context, now):
    check_last(context, now, SharesGivenUp)


@behave.then("at {now:g} s its process stops")
def check_process_stops(context, now):
    check_last(context, now, StopProcess)
    kinds = [kind for _, kind in context.stages]
    assert kinds.count(StopProcess) == 1, kinds
