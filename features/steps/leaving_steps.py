"""Steps for evidence that a backend server is leaving or has returned."""

import random

import behave
import hypothesis
from hypothesis import strategies
from share_simulation import make_settings

from bluebellbay.coordination.core import Core
from bluebellbay.coordination.fleet.share import SharePart
from bluebellbay.coordination.servers.leaving import LeavingPart
from bluebellbay.coordination.servers.server import ServerPart
from bluebellbay.protocol.command import PollServer
from bluebellbay.protocol.command import SendPeerMessage
from bluebellbay.protocol.command import SetConnectionShare
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.configuration import LeavingMark
from bluebellbay.protocol.event import ConfigurationChanged
from bluebellbay.protocol.event import LegRefused
from bluebellbay.protocol.event import LegReplied
from bluebellbay.protocol.event import PeerMessageReceived
from bluebellbay.protocol.event import ServerPolled
from bluebellbay.protocol.event import VmListRead
from bluebellbay.protocol.leg import LegRefusal
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.leg import RefusalReason
from bluebellbay.protocol.leg import ServerReport
from bluebellbay.protocol.peer import Departure
from bluebellbay.protocol.peer import LeavingNotice
from bluebellbay.protocol.peer import PeerEnvelope
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.vm import VmEntry
from bluebellbay.protocol.vm import VmList
from bluebellbay.protocol.vm import VmRole
from bluebellbay.protocol.vm import VmState
from bluebellbay.state.departure import DepartureTable

FIRST_INCARNATION = 3
FIRST_LIST_SEQUENCE = 10
STEP_S = 10.0


class ObservingNode:
    """One node's core that receives evidence on the server ``s``.

    :ivar now: Present time in seconds, advanced by each event.
    :ivar commands: Commands that the last event caused.
    :ivar sequence: Sequence of the newest VM list.
    :ivar start: Present incarnation of the server.
    :ivar revision: Revision of the configuration in force.
    """

    def __init__(self, peers):
        self.core = Core(
            settings=make_settings("vm-1", peers),
            rng=random.Random(1),  # noqa: S311
            parts=(ServerPart, LeavingPart, SharePart),
        )
        self.now = 1000.0
        self.commands = []
        self.sequence = FIRST_LIST_SEQUENCE
        self.start = FIRST_INCARNATION
        self.revision = 0
        self.feed(TimerTick())
        self.feed_list(VmState.LIVE)
        self.now += 30.0
        self.feed_list(VmState.LIVE)

    @property
    def record(self):
        return self.core.state.servers.servers.get("s")

    def feed(self, event):
        self.now += STEP_S
        self.commands = list(self.core.step(event, self.now))

    def feed_list(self, state, *, sequence_lag=0, listed=True):
        self.sequence += 1
        entry = VmEntry(
            name="s",
            role=VmRole.BACKEND,
            failure_domain="fd-1",
            address="127.0.0.1:1",
            index="ink",
            service="ink",
            state=state,
            incarnation=self.start,
        )
        vms = (entry,) if listed else ()
        sequence = self.sequence - sequence_lag
        self.feed(VmListRead(vm_list=VmList(sequence=sequence, vms=vms)))

    def feed_mark(self, leaving):
        self.revision += 1
        mark = LeavingMark(vm="s", revision=self.revision, leaving=leaving)
        document = ConfigurationDocument(
            revision=self.revision, change_id="c", marks=(mark,)
        )
        self.core.state.configuration.accept(document)
        self.feed(ConfigurationChanged(revision=self.revision))

    def feed_reply(self, attempt):
        reply = LegReply(
            attempt=attempt, snapshot=1, start=0, end=1, leaving=True
        )
        self.feed(LegReplied(server="s", attempt="a", reply=reply))

    def feed_refusal(self):
        refusal = LegRefusal(attempt="a", reason=RefusalReason.LEAVING)
        self.feed(LegRefused(server="s", attempt="a", refusal=refusal))

    def feed_health(self):
        report = ServerReport(server="s", leaving=True)
        self.feed(ServerPolled(server="s", report=report))

    def feed_notice(self):
        departure = Departure(
            server="s", incarnation=self.start, revision=self.revision
        )
        envelope = PeerEnvelope(
            sender="vm-2",
            incarnation=1,
            sequence=self.sequence,
            message=LeavingNotice(departures=(departure,)),
        )
        self.feed(PeerMessageReceived(envelope=envelope))


@behave.given('a node that knows server "s" and peers "{peers}"')
def make_node(context, peers):
    context.node = ObservingNode(peers.split())
    assert not context.node.record.leaving
    assert context.node.record.connection_share > 0


@behave.when('server "s" is leaving by {source}')
def make_leaving(context, source):
    node = context.node
    match source:
        case "the VM list":
            node.feed_list(VmState.LEAVING)
        case "an operator's mark":
            node.feed_mark(leaving=True)
        case "a reply":
            node.feed_reply("a")
        case "a refusal":
            node.feed_refusal()
        case "a health report":
            node.feed_health()
        case "a peer's notice":
            node.feed_notice()
        case "removal from the VM list":
            node.feed_list(VmState.LIVE, listed=False)


@behave.when('server "s" returns by {source}')
def make_return(context, source):
    node = context.node
    match source:
        case "listing of the same incarnation":
            node.feed_list(VmState.LIVE)
        case "listing of a later incarnation":
            node.start += 1
            node.feed_list(VmState.LIVE)
        case "an older VM list":
            node.feed_list(VmState.LIVE, sequence_lag=2)
        case "an operator's mark":
            node.feed_mark(leaving=False)


@behave.given('server "s" has a leg in progress')
def begin_leg(context):
    context.node.record.outstanding = 1


@behave.when("{event} follows")
def follow(context, event):
    node = context.node
    if event != "a change of a profile":
        make_return(context, event)
        return
    node.revision += 1
    node.core.state.configuration.accept(
        ConfigurationDocument(revision=node.revision, change_id="c")
    )
    node.feed(ConfigurationChanged(revision=node.revision))


@behave.then('server "s" is polled about once a period')
def check_poll_rate(context):
    core = context.node.core
    period_s = core.state.settings.policy.health_poll_s
    periods = 20
    now = context.node.now
    until = now + periods * period_s
    polls = 0
    while (now := core.get_wakeup_time()) < until:
        commands = core.step(TimerTick(), now)
        polls += sum(isinstance(item, PollServer) for item in commands)
    assert periods * 0.8 <= polls <= periods * 1.3, polls


@behave.when('a reply to another attempt says that server "s" is leaving')
def feed_reply_to_other_attempt(context):
    context.node.feed_reply("b")


@behave.then('server "s" gets no new legs and its connection share is 0')
def check_no_new_work(context):
    record = context.node.record
    assert record is None or record.leaving
    limits = [
        command.limit
        for command in context.node.commands
        if isinstance(command, SetConnectionShare)
    ]
    assert limits == [0], limits


@behave.then('the peers notified that server "s" is leaving are "{names}"')
def check_notified(context, names):
    notified = {
        command.peer
        for command in context.node.commands
        if isinstance(command, SendPeerMessage)
        and isinstance(command.message, LeavingNotice)
        and command.message.departures[0].server == "s"
    }
    assert notified == set(names.split()), notified


@behave.then('the peers notified that server "s" is leaving are ""')
def check_none_notified(context):
    check_notified(context, "")


@behave.then('server "s" is {state}')
def check_state(context, state):
    record = context.node.record
    actual = "removed" if record is None else "in service"
    if record is not None and record.leaving:
        actual = "leaving"
    assert actual == state, actual
    if actual == "in service":
        assert record.connection_share > 0


@behave.then("the same evidence of leaving in any order has the same result")
def check_order_of_evidence(context):
    evidence = strategies.lists(
        strategies.builds(
            Departure,
            server=strategies.sampled_from("st"),
            incarnation=strategies.integers(1, 3),
            revision=strategies.integers(0, 3),
        ),
        max_size=8,
    )

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(evidence, strategies.randoms(use_true_random=False))
    def check(departures, rng):
        shuffled = list(departures)
        rng.shuffle(shuffled)
        tables = [DepartureTable(), DepartureTable()]
        for table, items in zip(tables, (departures, shuffled), strict=True):
            for item in items:
                table.record(item)
        for server in "st":
            assert tables[0].find(server) == tables[1].find(server)

    check()
