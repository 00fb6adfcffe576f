"""Steps about the configuration of one node and of operators."""

import dataclasses
import random

import behave

from bluebellbay.coordination.configurations.change import build_next
from bluebellbay.coordination.configurations.change import ChangeOutcome
from bluebellbay.coordination.configurations.change import find_base
from bluebellbay.coordination.configurations.change import judge_change
from bluebellbay.coordination.configurations.change import list_foreign_changes
from bluebellbay.coordination.configurations.change import ProfileDelete
from bluebellbay.coordination.configurations.change import ProfileSet
from bluebellbay.coordination.configurations.configuration import (
    ConfigurationPart,
)
from bluebellbay.coordination.core import Core
from bluebellbay.coordination.fleet.membership import MembershipPart
from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.command import LogDecision
from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.command import SendPeerMessage
from bluebellbay.protocol.command import WatchKey
from bluebellbay.protocol.command import WriteKey
from bluebellbay.protocol.event import KeyRead
from bluebellbay.protocol.event import PeerMessageReceived
from bluebellbay.protocol.event import StoreCallFailed
from bluebellbay.protocol.event import TimerTick
from bluebellbay.protocol.peer import ConfigurationDigest
from bluebellbay.protocol.peer import ConfigurationPush
from bluebellbay.protocol.peer import PeerEnvelope
from bluebellbay.protocol.profile import Profile
from bluebellbay.settings import parse_settings

START = 1_000_000.0


def make_settings(name, peers):
    return parse_settings(
        {
            "node": {
                "name": name,
                "failure_domain": "a",
                "listen": "127.0.0.1:1",
                "peer_listen": "127.0.0.1:2",
            },
            "platform": {
                "store": "http://127.0.0.1:3",
                "vm_list": "http://127.0.0.1:4",
            },
            "indexes": [{"name": "press-desk"}],
            "peers": [
                {
                    "name": peer,
                    "failure_domain": "a",
                    "address": "127.0.0.1:1",
                    "peer_address": "127.0.0.1:2",
                }
                for peer in peers
            ],
        }
    ).ok


def make_document(revision):
    document = None
    for number in range(1, revision + 1):
        change = ProfileSet(profile=Profile(name="batch", delay_ms=number))
        document = build_next(
            document, change, change_id=f"id-{number}", author="anna"
        ).ok
    return document


def tell(context, event):
    context.now += 0.001
    context.commands += context.core.step(event, context.now)


def run_until(context, kind):
    context.commands = []
    while True:
        found = [it for it in context.commands if isinstance(it, kind)]
        if found:
            return found[-1]
        context.now = max(context.now, context.core.get_wakeup_time())
        context.commands += context.core.step(TimerTick(), context.now)


def tell_peer(context, sender, message):
    context.sequence += 1
    context.commands = []
    tell(
        context,
        PeerMessageReceived(
            envelope=PeerEnvelope(
                sender=sender,
                incarnation=1,
                sequence=context.sequence,
                message=message,
            )
        ),
    )


def answer_read(context, command, value, version):
    tell(
        context,
        KeyRead(
            correlation_id=command.correlation_id,
            key=command.key,
            value=value,
            version=version,
        ),
    )


@behave.given('a node "{name}" with the peers "{peers}"')
def start_node(context, name, peers):
    context.core = Core(
        settings=make_settings(name, peers.split()),
        rng=random.Random(1),
        parts=(MembershipPart, ConfigurationPart),
    )
    context.now = START
    context.commands = []
    context.sequence = 0


@behave.when("the node starts and reads revision {revision:d} from the store")
def read_store(context, revision):
    command = run_until(context, ReadKey)
    answer_read(context, command, encode_json(make_document(revision)), 7)


@behave.when("the node starts and the store fails")
def fail_store(context):
    command = run_until(context, ReadKey)
    tell(
        context,
        StoreCallFailed(
            correlation_id=command.correlation_id, key=command.key, sent=True
        ),
    )


@behave.when("a watch of the node answers with revision {revision:d}")
def answer_watch(context, revision):
    command = run_until(context, ReadKey | WatchKey)
    answer_read(context, command, encode_json(make_document(revision)), 9)


@behave.when("a watch of the node answers with malformed documents")
def answer_malformed(context):
    good = make_document(9)
    record = good.profiles[0]
    context.bad = (
        b"",
        b"{",
        encode_json(good)[:-9],
        encode_json(dataclasses.replace(good, revision=8)),
        encode_json(dataclasses.replace(good, change_id="")),
        encode_json(dataclasses.replace(good, profiles=(record, record))),
        encode_json(good).replace(b'"delay_ms":9', b'"delay_ms":-9'),
    )
    context.logged = 0
    for version, value in enumerate(context.bad, start=20):
        answer_read(context, run_until(context, WatchKey), value, version)
        context.logged += sum(
            it.sentence == "Dropped a malformed document."
            for it in context.commands
            if isinstance(it, LogDecision)
        )


@behave.when('peer "{name}" pushes revision {revision:d}')
def push_revision(context, name, revision):
    message = ConfigurationPush(document=make_document(revision))
    tell_peer(context, name, message)


@behave.when('peer "{name}" sends a digest of revision {revision:d}')
def send_digest(context, name, revision):
    message = ConfigurationDigest(
        revision=revision, change_id=f"id-{revision}"
    )
    tell_peer(context, name, message)


@behave.when(
    'peer "{name}" sends a digest of revision {revision:d} seen {age:g} s ago'
)
def send_seen_digest(context, name, revision, age):
    message = ConfigurationDigest(
        revision=revision, change_id=f"id-{revision}", confirmed_age_s=age
    )
    tell_peer(context, name, message)


def is_confirmed(context):
    return context.core.state.configuration.is_confirmed(
        now=context.now, max_age_s=10.0
    )


@behave.then("revision {revision:d} is in force and confirmed")
def check_confirmed(context, revision):
    assert context.core.state.configuration.revision == revision
    assert is_confirmed(context)


@behave.then("revision {revision:d} is in force and not confirmed")
def check_unconfirmed(context, revision):
    assert context.core.state.configuration.revision == revision
    assert not is_confirmed(context)


@behave.then("no revision is in force")
def check_none(context):
    assert context.core.state.configuration.document is None


def list_sent(context, kind):
    return {
        it.peer: it.message
        for it in context.commands
        if isinstance(it, SendPeerMessage) and isinstance(it.message, kind)
    }


@behave.then('the peers "{names}" were sent revision {revision:d}')
def check_pushes(context, names, revision):
    sent = list_sent(context, ConfigurationPush)
    assert set(sent) == set(names.split()), context.commands
    assert {it.document.revision for it in sent.values()} == {revision}


@behave.then('the peers "{names}" were asked for a revision')
def check_asked(context, names):
    sent = list_sent(context, ConfigurationDigest)
    assert set(sent) == set(names.split()), context.commands
    assert all(it.wants_reply for it in sent.values())


@behave.then("the node writes revision {revision:d} to the store")
def check_write(context, revision):
    writes = [it for it in context.commands if isinstance(it, WriteKey)]
    assert len(writes) == 1, context.commands
    assert writes[0].value == encode_json(make_document(revision))


@behave.then("each malformed document was logged")
def check_logged(context):
    assert context.logged == len(context.bad), context.logged


@behave.given('a document with the profile "{name}"')
def make_base(context, name):
    change = ProfileSet(profile=Profile(name=name))
    context.base = build_next(None, change, change_id="first", author="ola").ok


def set_delay(base, delay_ms, author):
    profile = Profile(name="batch", delay_ms=delay_ms)
    return build_next(
        base,
        ProfileSet(profile=profile),
        change_id=f"{author}-{delay_ms}",
        author=author,
    ).ok


@behave.when(
    '"{first}" and "{second}" both change the profile "batch" of that document'
)
def race_operators(context, first, second):
    context.won = set_delay(context.base, 100, first)
    context.lost = set_delay(context.base, 200, second)


@behave.then(
    'the change of "{loser}" is refused and shows "{author}" "{what}"'
)
def check_conflict(context, loser, author, what):
    assert context.lost.author == loser
    outcome = judge_change(context.lost, context.won)
    assert outcome is ChangeOutcome.NOT_MADE, outcome
    shown = list_foreign_changes(context.base, context.won)
    assert [(it.author, it.summary) for it in shown] == [(author, what)]


@behave.then('the change of "{loser}" made again on top holds both changes')
def check_retry(context, loser):
    base = find_base(context.won, context.base)
    again = set_delay(base, 300, loser)
    assert again.revision == context.won.revision + 1
    assert judge_change(context.won, again) is ChangeOutcome.SUPERSEDED


@behave.then("a change read back at once stands")
def check_stands(context):
    written = set_delay(context.base, 100, "anna")
    assert judge_change(written, written) is ChangeOutcome.STANDS


@behave.then("a change read back after another is superseded")
def check_superseded(context):
    written = set_delay(context.base, 100, "anna")
    later = set_delay(written, 200, "jan")
    assert judge_change(written, later) is ChangeOutcome.SUPERSEDED


@behave.then("a change that another took the place of was not made")
def check_not_made(context):
    written = set_delay(context.base, 100, "anna")
    other = set_delay(context.base, 200, "jan")
    later = set_delay(other, 300, "jan")
    for found in (None, context.base, other, later):
        outcome = judge_change(written, found)
        assert outcome is ChangeOutcome.NOT_MADE, found


@behave.then("a change read back after {count:d} others is unknown")
def check_unknown(context, count):
    written = found = set_delay(context.base, 100, "anna")
    for number in range(count):
        found = set_delay(found, 200 + number, "jan")
    assert judge_change(written, found) is ChangeOutcome.UNKNOWN


@behave.when('the profile "{name}" is deleted from that document')
def delete_profile(context, name):
    context.deleted = build_next(
        context.base, ProfileDelete(name=name), change_id="gone", author="jan"
    ).ok


@behave.then('an older document joined to it does not bring "{name}" back')
def check_tombstone(context, name):
    base = find_base(context.base, context.deleted)
    assert base is context.deleted
    assert [(it.name, it.profile) for it in base.profiles] == [(name, None)]
