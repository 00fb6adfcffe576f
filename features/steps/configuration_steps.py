"""Steps on the configuration of one node and on operators' changes."""

import dataclasses
import random

import behave

from bluebellbay.coordination.configurations.change import apply_change
from bluebellbay.coordination.configurations.change import build_base
from bluebellbay.coordination.configurations.change import ChangeOutcome
from bluebellbay.coordination.configurations.change import DeleteProfile
from bluebellbay.coordination.configurations.change import determine_outcome
from bluebellbay.coordination.configurations.change import list_changes_since
from bluebellbay.coordination.configurations.change import SetProfile
from bluebellbay.coordination.configurations.configuration import (
    ConfigurationPart,
)
from bluebellbay.coordination.core import Core
from bluebellbay.coordination.fleet.membership import MembershipPart
from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.command import SendPeerMessage
from bluebellbay.protocol.command import WatchKey
from bluebellbay.protocol.command import WriteKey
from bluebellbay.protocol.event import KeyRead
from bluebellbay.protocol.event import PeerMessageReceived
from bluebellbay.protocol.event import StoreCallFailed
from bluebellbay.protocol.peer import ConfigurationDigest
from bluebellbay.protocol.peer import ConfigurationPush
from bluebellbay.protocol.peer import PeerEnvelope
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.profile import Profile
from bluebellbay.settings import parse_settings

START_TIME_S = 1_000_000.0


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
    """Make the document of a chain of changes to one profile.

    :param revision: Number of changes.
    """
    document = None
    for number in range(1, revision + 1):
        change = SetProfile(profile=Profile(name="batch", delay_ms=number))
        document = apply_change(
            document, change, change_id=f"id-{number}", author="anna"
        ).ok
    return document


def handle_event(context, event):
    context.now += 0.001
    context.commands += context.core.step(event, context.now)


def run_until_command(context, kind):
    """Advance the time from wake to wake until a command is issued.

    :param kind: Type of the command.
    :returns: The last command of that type.
    """
    context.commands = []
    while True:
        matching = [
            item for item in context.commands if isinstance(item, kind)
        ]
        if matching:
            return matching[-1]
        context.now = max(context.now, context.core.get_wakeup_time())
        context.commands += context.core.step(TimerTick(), context.now)


def receive_message(context, sender, message):
    context.sequence += 1
    context.commands = []
    handle_event(
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


def send_read_answer(context, command, value, version):
    handle_event(
        context,
        KeyRead(
            correlation_id=command.correlation_id,
            key=command.key,
            value=value,
            version=version,
        ),
    )


@behave.given('a node "{name}" with the peers "{peers}"')
def create_node(context, name, peers):
    context.core = Core(
        settings=make_settings(name, peers.split()),
        rng=random.Random(1),
        parts=(MembershipPart, ConfigurationPart),
    )
    context.now = START_TIME_S
    context.commands = []
    context.sequence = 0


@behave.when("the node starts and reads revision {revision:d} from the store")
def answer_first_read(context, revision):
    command = run_until_command(context, ReadKey)
    send_read_answer(context, command, encode_json(make_document(revision)), 7)


@behave.when("the node starts and its first read of the store fails")
def fail_first_read(context):
    command = run_until_command(context, ReadKey)
    handle_event(
        context,
        StoreCallFailed(
            correlation_id=command.correlation_id, key=command.key, sent=True
        ),
    )


@behave.when(
    "the node starts and none of its store calls is answered for {seconds:d} s"
)
def leave_calls_unanswered(context, seconds):
    until = context.now + seconds
    while context.now < until:
        context.now += 0.1
        handle_event(context, TimerTick())


@behave.then("it logged once that it lost the store")
def check_lost_store_logged(context):
    lines = [
        command.sentence
        for command in context.commands
        if isinstance(command, LogDecision)
        and command.sentence.startswith("Lost the store")
    ]
    assert len(lines) == 1, lines


@behave.when("the node's next store call returns revision {revision:d}")
def answer_call(context, revision):
    command = run_until_command(context, ReadKey | WatchKey)
    send_read_answer(context, command, encode_json(make_document(revision)), 9)


@behave.when("the node's store watches return malformed documents")
def answer_with_malformed(context):
    valid = make_document(9)
    record = valid.profiles[0]
    # Not JSON, truncated, a record above the document's revision, no change
    # id, two records of one name, and an invalid field of a profile.
    context.malformed_values = (
        b"",
        b"{",
        encode_json(valid)[:-9],
        encode_json(dataclasses.replace(valid, revision=8)),
        encode_json(dataclasses.replace(valid, change_id="")),
        encode_json(dataclasses.replace(valid, profiles=(record, record))),
        encode_json(valid).replace(b'"delay_ms":9', b'"delay_ms":-9'),
    )
    context.logged_count = 0
    for version, value in enumerate(context.malformed_values, start=20):
        send_read_answer(
            context, run_until_command(context, WatchKey), value, version
        )
        context.logged_count += sum(
            item.sentence == "Dropped a malformed configuration document."
            for item in context.commands
            if isinstance(item, LogDecision)
        )


@behave.when('peer "{name}" pushes revision {revision:d}')
def push_revision(context, name, revision):
    message = ConfigurationPush(document=make_document(revision))
    receive_message(context, name, message)


@behave.when('peer "{name}" sends a digest of revision {revision:d}')
def send_digest(context, name, revision):
    message = ConfigurationDigest(
        revision=revision, change_id=f"id-{revision}"
    )
    receive_message(context, name, message)


@behave.when(
    'peer "{name}" sends a digest of revision {revision:d} '
    "confirmed {age_s:g} s ago"
)
def send_confirmed_digest(context, name, revision, age_s):
    message = ConfigurationDigest(
        revision=revision, change_id=f"id-{revision}", confirmed_age_s=age_s
    )
    receive_message(context, name, message)


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
def check_no_revision(context):
    assert context.core.state.configuration.document is None


def collect_sent(context, kind):
    return {
        item.peer: item.message
        for item in context.commands
        if isinstance(item, SendPeerMessage) and isinstance(item.message, kind)
    }


@behave.then('the peers "{names}" were sent revision {revision:d}')
def check_pushes(context, names, revision):
    sent = collect_sent(context, ConfigurationPush)
    assert set(sent) == set(names.split()), context.commands
    assert {item.document.revision for item in sent.values()} == {revision}


@behave.then('the peers "{names}" were sent digests that request a reply')
def check_requested(context, names):
    sent = collect_sent(context, ConfigurationDigest)
    assert set(sent) == set(names.split()), context.commands
    assert all(item.wants_reply for item in sent.values())


@behave.then("the node writes revision {revision:d} to the store")
def check_write(context, revision):
    writes = [item for item in context.commands if isinstance(item, WriteKey)]
    assert len(writes) == 1, context.commands
    assert writes[0].value == encode_json(make_document(revision))


@behave.then("each malformed document was logged")
def check_malformed_logged(context):
    assert context.logged_count == len(context.malformed_values), (
        context.logged_count
    )


@behave.given('a document with the profile "{name}"')
def create_document(context, name):
    change = SetProfile(profile=Profile(name=name))
    context.base = apply_change(
        None, change, change_id="first", author="ola"
    ).ok


def set_delay(base, delay_ms, author):
    profile = Profile(name="batch", delay_ms=delay_ms)
    return apply_change(
        base,
        SetProfile(profile=profile),
        change_id=f"{author}-{delay_ms}",
        author=author,
    ).ok


@behave.when(
    '"{first}" and "{second}" both change the profile "batch" of that document'
)
def change_concurrently(context, first, second):
    context.won = set_delay(context.base, 100, first)
    context.lost = set_delay(context.base, 200, second)


@behave.then(
    'the change of "{operator}" conflicts with "{expected}" by "{author}"'
)
def check_conflict(context, operator, author, expected):
    assert context.lost.author == operator
    outcome = determine_outcome(context.lost, context.won)
    assert outcome is ChangeOutcome.NOT_APPLIED, outcome
    shown = list_changes_since(context.base, context.won)
    assert [(item.author, item.summary) for item in shown] == [
        (author, expected)
    ]


@behave.then('a retry by "{operator}" on the stored document has both changes')
def check_retry(context, operator):
    base = build_base(context.won, context.base)
    retried = set_delay(base, 300, operator)
    assert retried.revision == context.won.revision + 1
    assert determine_outcome(context.won, retried) is ChangeOutcome.SUPERSEDED


@behave.then("a change read back at once is the latest")
def check_latest(context):
    written = set_delay(context.base, 100, "anna")
    assert determine_outcome(written, written) is ChangeOutcome.LATEST


@behave.then("a change read back after a later one is superseded")
def check_superseded(context):
    written = set_delay(context.base, 100, "anna")
    later = set_delay(written, 200, "jan")
    assert determine_outcome(written, later) is ChangeOutcome.SUPERSEDED


@behave.then(
    "a change that is absent from the document read back was not applied"
)
def check_not_applied(context):
    written = set_delay(context.base, 100, "anna")
    other = set_delay(context.base, 200, "jan")
    later = set_delay(other, 300, "jan")
    for stored in (None, context.base, other, later):
        outcome = determine_outcome(written, stored)
        assert outcome is ChangeOutcome.NOT_APPLIED, stored


@behave.then(
    "the outcome of a change read back after {count:d} others is unknown"
)
def check_unknown(context, count):
    written = stored = set_delay(context.base, 100, "anna")
    for number in range(count):
        stored = set_delay(stored, 200 + number, "jan")
    assert determine_outcome(written, stored) is ChangeOutcome.UNKNOWN


@behave.when('the profile "{name}" is deleted from that document')
def delete_profile(context, name):
    context.after_delete = apply_change(
        context.base, DeleteProfile(name=name), change_id="gone", author="jan"
    ).ok


@behave.then('a merge with an older document does not restore "{name}"')
def check_tombstone(context, name):
    base = build_base(context.base, context.after_delete)
    assert base is context.after_delete
    assert [(item.name, item.profile) for item in base.profiles] == [
        (name, None)
    ]
