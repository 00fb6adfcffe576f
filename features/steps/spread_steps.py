"""Steps about the spreading of configuration and membership."""

import behave
import hypothesis
from hypothesis import strategies

from bluebellbay.coordination.configurations.change import apply_change
from bluebellbay.coordination.configurations.change import SetProfile
from bluebellbay.protocol.codec import decode_json
from bluebellbay.protocol.codec import decode_peer
from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.codec import encode_peer
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.event import PeerMessageDropped
from bluebellbay.protocol.event import PeerMessageReceived
from bluebellbay.protocol.event import QueriesDrained
from bluebellbay.protocol.peer import ConfigurationDigest
from bluebellbay.protocol.peer import ConfigurationPush
from bluebellbay.protocol.peer import MAX_PEER_MESSAGE_BYTES
from bluebellbay.protocol.peer import MAX_STATUS_UPDATES
from bluebellbay.protocol.peer import PeerEnvelope
from bluebellbay.protocol.peer import PeerStatus
from bluebellbay.protocol.peer import Ping
from bluebellbay.protocol.peer import StatusUpdate
from bluebellbay.protocol.profile import Profile
from bluebellbay_bench.spread_loop import DOMAINS
from bluebellbay_bench.spread_loop import SpreadLoop
from bluebellbay_bench.spread_trial import list_missed_bounds
from bluebellbay_bench.spread_trial import SpreadTrial

SEED = 3
HISTORY_NODES = 5
HEAL_S = 30.0


def build_change(document, name, number, author="anna"):
    revision = document.revision + 1 if document else 1
    return apply_change(
        document,
        SetProfile(profile=Profile(name=name, delay_ms=number)),
        change_id=f"{author}-{revision}-{number}",
        author=author,
    ).ok


def read_store(loop):
    if loop.store.value is None:
        return None
    return decode_json(loop.store.value, ConfigurationDocument).ok


def list_delays(document):
    return {
        record.name: record.profile.delay_ms for record in document.profiles
    }


@behave.given(
    "{count:d} nodes in the spreading loop with revision {revision:d} in force"
)
def start_loop(context, count, revision):
    context.loop = SpreadLoop(nodes=count, seed=SEED)
    context.documents = []
    document = None
    for number in range(1, revision + 1):
        document = build_change(document, "batch", number)
        context.documents.append(document)
    context.loop.store.put(encode_json(document))
    context.loop.start()
    context.loop.run(10.0)
    assert context.loop.is_in_force(revision)


def list_statuses(loop, name):
    return [
        node.core.state.fleet.peers[name].status
        for node in loop.nodes.values()
        if node.name != name
    ]


@behave.when('node "{name}" is frozen for {time:g} s')
def freeze(context, name, time):
    context.loop.nodes[name].is_frozen = True
    context.loop.run(time)


@behave.when(
    'node "{name}" is frozen for {time:g} s while it suspects "{other}"'
)
def freeze_suspecting(context, name, time, other):
    loop = context.loop
    node = loop.nodes[name]
    peer = node.core.state.fleet.peers[other]
    loop.cut(node.domain)
    suspected = loop.run(20.0, lambda: peer.status is PeerStatus.SUSPECT)
    assert suspected is not None
    freeze(context, name, 0.0)
    loop.heal()
    loop.run(time)


@behave.when('node "{name}" is thawed')
def thaw(context, name):
    context.thawed_at = context.loop.now
    context.loop.thaw(name)


@behave.then('the others hold "{name}" for dead')
def check_dead(context, name):
    statuses = list_statuses(context.loop, name)
    assert set(statuses) == {PeerStatus.DEAD}, statuses


@behave.then("within {time:g} s everyone holds everyone for alive")
def check_alive(context, time):
    def is_whole():
        return all(
            set(list_statuses(context.loop, name)) == {PeerStatus.ALIVE}
            for name in context.loop.nodes
        )

    assert context.loop.run(time, is_whole) is not None


@behave.then('"{name}" held nobody for dead after its thaw')
def check_no_verdict(context, name):
    verdicts = [
        decision
        for at, node, decision in context.loop.decisions
        if node == name and at >= context.thawed_at
        if decision.sentence == "Peer is dead."
    ]
    assert not verdicts, verdicts


@behave.when(
    'the link from "{first}" to "{second}" is cut in that direction only'
)
def cut_one_way(context, first, second):
    context.loop.cut_links.add((first, second))


@behave.when("{time:g} s pass in the spreading loop")
def pass_time(context, time):
    context.loop.run(time)


@behave.then("nobody was held for dead wrongly")
def check_no_dead(context):
    sentences = [it.sentence for _, _, it in context.loop.decisions]
    assert "Peer is dead." not in sentences


@behave.when('node "{name}" leaves and ends')
def leave(context, name):
    context.loop.tell(name, QueriesDrained())
    context.loop.stop([name])


@behave.then('within {time:g} s the others hold "{name}" for left')
def check_left(context, time, name):
    def has_left():
        return set(list_statuses(context.loop, name)) == {PeerStatus.LEFT}

    assert context.loop.run(time, has_left) is not None


@behave.when("the store goes back to revision {revision:d}")
def restore_store(context, revision):
    context.loop.store.put(encode_json(context.documents[revision - 1]))


@behave.when(
    "the store goes back to revision {revision:d} and an operator adds "
    '"{name}" there'
)
def change_restored(context, revision, name):
    base = context.documents[revision - 1]
    late = build_change(base, name, 77, author="jan")
    context.loop.store.put(encode_json(late))


@behave.then("within {time:g} s the store holds revision {revision:d} again")
def check_store(context, time, revision):
    newest = encode_json(context.documents[revision - 1])
    loop = context.loop
    assert loop.run(time, lambda: loop.store.value == newest) is not None


@behave.then(
    'within {time:g} s all hold "{name}" and the profile of revision '
    "{revision:d}"
)
def check_join(context, time, name, revision):
    expected = {"batch": revision, name: 77}
    loop = context.loop

    def is_joined():
        return all(
            list_delays(node.core.state.configuration.document) == expected
            for node in loop.nodes.values()
        )

    assert loop.run(time, is_joined) is not None
    assert list_delays(read_store(loop)) == expected
    assert loop.went_back == 0


@behave.given(
    "a fleet of {count:d} nodes in the spreading loop with 1 in 100 lost"
)
def measure_fleet(context, count):
    context.figures = SpreadTrial(nodes=count, seed=SEED).measure()


@behave.then("each of its bounds is kept")
def check_bounds(context):
    missed = list_missed_bounds(context.figures)
    assert not missed, (missed, context.figures)


class History:
    """Applies drawn faults to a loop and remembers what was accepted."""

    def __init__(self, seed):
        self.loop = SpreadLoop(nodes=HISTORY_NODES, seed=seed, loss=0.01)
        self.accepted = {}
        self.saved = None
        self.changes = 0
        self.change(0)
        self.save(0)
        self.loop.start()
        self.loop.run(2.0)

    def apply(self, action, number):
        getattr(self, action)(number)
        self.loop.run(0.2 + number % 7)
        self.check()

    def change(self, number):
        base = read_store(self.loop)
        known = self.find_known()
        if known and base and known.revision > base.revision:
            base = known
        self.changes += 1
        document = build_change(base, f"p{number % 3}", self.changes)
        self.loop.store.put(encode_json(document))

    def find_known(self):
        documents = [
            node.core.state.configuration.document
            for node in self.loop.nodes.values()
            if node.is_running
        ]
        held = [document for document in documents if document]
        return max(held, key=lambda it: it.revision, default=None)

    def cut(self, number):
        self.loop.cut(DOMAINS[number % 3], store=number % 2 == 0)

    def heal(self, number):
        self.loop.heal()

    def outage(self, number):
        self.loop.store.is_up = not self.loop.store.is_up

    def save(self, number):
        self.saved = self.loop.store.value

    def restore(self, number):
        self.loop.store.put(self.saved)

    def replace(self, number):
        name = f"entry-{number % HISTORY_NODES + 1}"
        self.loop.stop([name])
        self.loop.start([name])

    def freeze(self, number):
        self.pick(number).is_frozen = True

    def thaw(self, number):
        if self.pick(number).is_frozen:
            self.loop.thaw(self.pick(number).name)

    def pick(self, number):
        return self.loop.nodes[f"entry-{number % HISTORY_NODES + 1}"]

    def check(self):
        assert self.loop.went_back == 0

    def converge(self):
        self.loop.heal()
        self.loop.store.is_up = True
        for name, node in self.loop.nodes.items():
            if node.is_frozen:
                self.loop.thaw(name)
        self.loop.run(HEAL_S)
        self.check()
        stored = read_store(self.loop)
        for node in self.loop.nodes.values():
            assert node.core.state.configuration.document == stored, node.name
            assert node.core.state.configuration.is_confirmed(
                now=self.loop.now, max_age_s=10.0
            )


ACTIONS = strategies.sampled_from(
    (
        "change",
        "cut",
        "heal",
        "outage",
        "save",
        "restore",
        "replace",
        "freeze",
        "thaw",
    )
)


@behave.then(
    "for any history of cuts, kills, freezes and restores nobody goes back"
)
def check_histories(context):
    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=60
    )
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(ACTIONS, strategies.integers(0, 41)),
            min_size=4,
            max_size=14,
        )
    )
    def check(actions):
        history = History(seed=len(actions))
        for action, number in actions:
            history.apply(action, number)
        history.converge()

    check()


def list_bad_messages(loop):
    node = loop.nodes["entry-2"]
    document = node.core.state.configuration.document
    push = ConfigurationPush(
        document=build_change(document, "batch", 5, author="forger")
    )
    updates = tuple(
        StatusUpdate(name=name, incarnation=10**17, status=PeerStatus.DEAD)
        for name in loop.nodes
    )
    many = updates * MAX_STATUS_UPDATES

    def frame(message, sender="entry-2"):
        return encode_peer(
            PeerEnvelope(
                sender=sender,
                incarnation=node.incarnation,
                sequence=10**6,
                message=message,
            )
        )

    good = frame(push)
    return {
        "empty": b"",
        "truncated": good[: len(good) // 2],
        "wrong version": good.replace(b"version\x01", b"version\x02"),
        "wrong kind": good.replace(b"ConfigurationPush", b"ConfigurationPusk"),
        "oversized": good + b"\x00" * MAX_PEER_MESSAGE_BYTES,
        "forged sender": frame(push, sender="nobody"),
        "forged digest": frame(
            ConfigurationDigest(revision=99), sender="nobody"
        ),
        "forged ping": frame(Ping(number=1), sender="nobody"),
        "incarnation in the future": frame(Ping(number=0, updates=updates)),
        "too many updates": frame(Ping(number=0, updates=many)),
        "older revision": frame(
            ConfigurationPush(document=build_change(None, "batch", 1))
        ),
        "record of a later revision": good.replace(
            b"revision\x03", b"revision\x02", 1
        ),
    }


def describe_node(node):
    state = node.core.state
    peers = {
        name: (peer.status, peer.incarnation, peer.address)
        for name, peer in state.fleet.peers.items()
    }
    return state.configuration.document, peers


@behave.then(
    "truncated, forged, oversized and wrong messages change nothing there"
)
def check_bad_messages(context):
    loop = context.loop
    victim = loop.nodes["entry-1"]
    for name, data in list_bad_messages(loop).items():
        before = describe_node(victim)
        decoded = decode_peer(data)
        if decoded.is_error():
            loop.tell(
                "entry-1", PeerMessageDropped(reason=decoded.error.reason)
            )
        else:
            loop.tell("entry-1", PeerMessageReceived(envelope=decoded.ok))
        assert describe_node(victim) == before, name
        assert victim.revision == 2, name
