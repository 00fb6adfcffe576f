"""Steps about claims that control how the store treats each command."""

import itertools
import random

import behave
from claim_store import FakeStore

from bluebellbay.coordination.core import Core
from bluebellbay.coordination.part import Part
from bluebellbay.coordination.postings.claim import ClaimPart
from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.claim import build_bucket_key
from bluebellbay.protocol.claim import Claim
from bluebellbay.protocol.claim import ClaimBucket
from bluebellbay.protocol.claim import decode_bucket
from bluebellbay.protocol.claim import encode_bucket
from bluebellbay.protocol.claim import MAX_BUCKET_BYTES
from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.command import WriteKey
from bluebellbay.protocol.error import Outcome
from bluebellbay.protocol.event import AdmissionClosed
from bluebellbay.protocol.event import ClaimFinished
from bluebellbay.protocol.event import ClaimGranted
from bluebellbay.protocol.event import ClaimHeld
from bluebellbay.protocol.event import ClaimRefused
from bluebellbay.protocol.event import ClaimRequested
from bluebellbay.protocol.event import StoreCallFailed
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.process import TimerTick
from bluebellbay.settings import parse_settings

START_S = 1_000_000.0
DEADLINE_S = 1.0
EXPIRY_S = 60.0


def build_claim_settings(name, **limits):
    return parse_settings(
        {
            "node": {
                "name": name,
                "failure_domain": "one",
                "listen": "127.0.0.1:1",
                "peer_listen": "127.0.0.1:2",
            },
            "platform": {
                "store": "http://127.0.0.1:3",
                "vm_list": "http://127.0.0.1:4",
            },
            "indexes": [{"name": "ledgerrun"}],
            "limits": limits,
        }
    ).ok


class EventRecorder(Part):
    """Records the events that the claim part sends to the query part."""

    def __init__(self, *, state):
        super().__init__(state=state)
        state.claim_events = []

    @property
    def event_types(self):
        return (ClaimGranted, ClaimHeld, ClaimRefused)

    def step(self, event, now):
        self.state.claim_events.append(event)
        return ()


class ClaimNode:
    """A node's claim part and its pending commands to the store."""

    def __init__(self, name, seed, **limits):
        self.core = Core(
            settings=build_claim_settings(name, **limits),
            rng=random.Random(seed),
            parts=(ClaimPart, EventRecorder),
        )
        self.pending_commands = []

    def step(self, event, now):
        for command in self.core.step(event, now):
            if not isinstance(command, LogDecision):
                assert isinstance(command, ReadKey | WriteKey), command
                self.pending_commands.append(command)


def process_pending(context, behaviour):
    """Execute the pending commands with the given behaviour of the store."""
    for node in context.claim_nodes.values():
        while node.pending_commands:
            command = node.pending_commands[0]
            if behaviour == "queues writes" and isinstance(command, WriteKey):
                break
            node.pending_commands.pop(0)
            node.step(
                process_command(context, command, behaviour), context.claim_now
            )
            if behaviour in (
                "loses the answer",
                "delays the write",
            ) and isinstance(command, WriteKey):
                break


def process_command(context, command, behaviour):
    failure = StoreCallFailed(
        correlation_id=command.correlation_id,
        key=command.key,
        sent=behaviour != "is down",
    )
    if behaviour == "delays the write" and isinstance(command, WriteKey):
        context.delayed_write = command
        return failure
    if behaviour == "is down":
        return failure
    answer = context.claim_store.apply(command)
    if behaviour == "loses the answer" and isinstance(command, WriteKey):
        return failure
    return answer


@behave.given("a store and the entry nodes {first} and {second}")
def build_nodes(context, first, second):
    context.claim_store = FakeStore()
    context.claim_now = START_S
    context.claim_nodes = {
        first: ClaimNode(first, 1),
        second: ClaimNode(second, 2),
    }


@behave.when("node {name} claims {request_id} and the store {behaviour}")
def claim(context, name, request_id, behaviour):
    request_claim(context, name, request_id)
    process_pending(context, behaviour)


@behave.when("node {name} claims {request_id} and the store's answer is lost")
def claim_with_lost_response(context, name, request_id):
    request_claim(context, name, request_id)
    process_pending(context, "loses the answer")


@behave.when(
    "node {name} requests a claim of {request_id} until {end:g} s "
    "and the store answers"
)
def claim_with_expiry(context, name, request_id, end):
    request_claim(context, name, request_id, end)
    process_pending(context, "answers")


@behave.when(
    "node {name} gets another request of the same bucket and the store answers"
)
def claim_another(context, name):
    (request_id,) = list_same_bucket_ids("posting-1", 1)
    end = context.claim_now - START_S + EXPIRY_S
    request_claim(context, name, request_id, end)
    process_pending(context, "answers")


@behave.when(
    "node {name} gets {count:d} more requests of the same bucket and the "
    "store queues writes"
)
def claim_others(context, name, count):
    for request_id in list_same_bucket_ids("posting-1", count):
        request_claim(context, name, request_id)
    process_pending(context, "queues writes")


def list_same_bucket_ids(request_id, count):
    """List ids of other requests whose claims are in the same bucket."""
    key = build_bucket_key(request_id)
    candidates = (f"neighbour-{number}" for number in itertools.count())
    matching = (name for name in candidates if build_bucket_key(name) == key)
    return list(itertools.islice(matching, count))


@behave.given(
    "claims are retained for {seconds:g} seconds beyond the clock skew"
)
def set_retention(context, seconds):
    for seed, name in enumerate(context.claim_nodes):
        context.claim_nodes[name] = ClaimNode(
            name, seed, claim_retention_s=seconds
        )


@behave.given("an almost full bucket for {request_id}")
def fill_bucket(context, request_id):
    fill_with_claim(context, request_id, MAX_BUCKET_BYTES - 100)


@behave.given("a bucket for {request_id} with room for one claim")
def fill_bucket_except_one(context, request_id):
    fill_with_claim(context, request_id, MAX_BUCKET_BYTES - 250)


def fill_with_claim(context, request_id, size):
    write_bucket(
        context,
        request_id,
        Claim(
            request_id="x" * size,
            token="",
            expires_at=START_S + EXPIRY_S,
        ),
    )


@behave.given("a bucket for {request_id} that one outcome almost fills")
def fill_bucket_with_outcome(context, request_id):
    outcome = Answer(
        request_id="x" * (MAX_BUCKET_BYTES - 400), outcome=Outcome.ANSWERED
    )
    write_bucket(
        context,
        request_id,
        Claim(
            request_id="other",
            token="",
            expires_at=START_S + EXPIRY_S,
            outcome=outcome,
        ),
    )


def write_bucket(context, request_id, claim):
    key = build_bucket_key(request_id)
    value = encode_bucket(ClaimBucket(claims=(claim,)))
    assert MAX_BUCKET_BYTES - 250 < len(value) <= MAX_BUCKET_BYTES, len(value)
    context.claim_store.values[key] = value
    context.claim_store.versions[key] = 1


@behave.when("node {name} closes admission and the store answers")
def close_admission(context, name):
    context.claim_nodes[name].step(AdmissionClosed(), context.claim_now)
    process_pending(context, "answers")


def request_claim(context, name, request_id, end=EXPIRY_S):
    context.claim_nodes[name].step(
        ClaimRequested(
            request_id=request_id,
            expires_at=START_S + end,
            deadline=context.claim_now + DEADLINE_S,
        ),
        context.claim_now,
    )


@behave.when(
    "node {name} finishes {request_id} as {outcome} and the store answers"
)
def finish_claim(context, name, request_id, outcome):
    answer = Answer(request_id=request_id, outcome=Outcome(outcome))
    context.claim_nodes[name].step(
        ClaimFinished(request_id=request_id, answer=answer), context.claim_now
    )
    process_pending(context, "answers")


@behave.when("{seconds:g} seconds pass and the store {behaviour}")
def advance_time(context, seconds, behaviour):
    end = context.claim_now + seconds
    while True:
        process_pending(context, behaviour)
        wakes = [
            node.core.get_wakeup_time()
            for node in context.claim_nodes.values()
        ]
        next_due = min(
            (wake for wake in wakes if wake is not None), default=end
        )
        if next_due > end:
            break
        context.claim_now = max(context.claim_now, next_due)
        for node in context.claim_nodes.values():
            node.step(TimerTick(), context.claim_now)
        if next_due == end:
            break
    context.claim_now = end


@behave.when("{seconds:g} seconds pass while node {name} is frozen")
def advance_time_frozen(context, seconds, name):
    context.claim_now += seconds


@behave.when("the delayed write reaches the store")
def apply_delayed(context):
    context.claim_store.apply(context.delayed_write)


@behave.when("the store answers")
def process_all(context):
    process_pending(context, "answers")


@behave.then("node {name} is granted the claim")
def check_granted(context, name):
    events = context.claim_nodes[name].core.state.claim_events
    assert [type(event) for event in events] == [ClaimGranted], events


@behave.then("node {name} is granted {grants:d} claims by {writes:d} writes")
def check_batched(context, name, grants, writes):
    events = context.claim_nodes[name].core.state.claim_events
    assert [type(event) for event in events] == [ClaimGranted] * grants, events
    assert (
        context.claim_store.versions[build_bucket_key("posting-1")] == writes
    )


@behave.then("the bucket holds one claim")
def check_collected(context):
    value = context.claim_store.values[build_bucket_key("posting-1")]
    assert len(decode_bucket(value).ok.claims) == 1, value


@behave.then("node {name} is told twice that the claim is held")
def check_held_twice(context, name):
    events = context.claim_nodes[name].core.state.claim_events
    assert [type(event) for event in events] == [ClaimHeld] * 2, events


@behave.then("node {name} is refused the claim")
def check_refused(context, name):
    events = context.claim_nodes[name].core.state.claim_events
    assert [type(event) for event in events] == [ClaimRefused], events


@behave.then("node {name} is told that the claim is held, without an outcome")
def check_held(context, name):
    (event,) = context.claim_nodes[name].core.state.claim_events
    assert isinstance(event, ClaimHeld), event
    assert event.outcome is None, event


@behave.then(
    "node {name} is last told that the claim is held, with outcome {outcome}"
)
def check_held_last(context, name, outcome):
    event = context.claim_nodes[name].core.state.claim_events[-1]
    assert isinstance(event, ClaimHeld), event
    assert event.outcome.outcome == outcome, event


@behave.then(
    "node {name} is told that the claim is held, with outcome {outcome:w}"
)
def check_held_outcome(context, name, outcome):
    (event,) = context.claim_nodes[name].core.state.claim_events
    assert isinstance(event, ClaimHeld), event
    assert event.outcome.outcome == outcome, event


@behave.then("node {name} has no timer and no store call pending")
def check_idle(context, name):
    assert context.claim_nodes[name].core.get_wakeup_time() is None
    assert not context.claim_nodes[name].pending_commands
