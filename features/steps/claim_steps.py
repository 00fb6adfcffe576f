"""Steps about claims, with the store's answers given one by one."""

import itertools
import random

import behave
from claim_store import ClaimStore

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
from bluebellbay.protocol.command import LogDecision
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
from bluebellbay.protocol.event import TimerTick
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


class Recorder(Part):
    """Notes what the claim part tells the query part."""

    def __init__(self, *, state):
        super().__init__(state=state)
        state.told = []

    @property
    def event_types(self):
        return (ClaimGranted, ClaimHeld, ClaimRefused)

    def step(self, event, now):
        self.state.told.append(event)
        return ()


class ClaimingNode:
    """One node's claim part, and its commands that wait for the store."""

    def __init__(self, name, seed, **limits):
        self.core = Core(
            settings=build_claim_settings(name, **limits),
            rng=random.Random(seed),
            parts=(ClaimPart, Recorder),
        )
        self.waiting = []

    def step(self, event, now):
        for command in self.core.step(event, now):
            if not isinstance(command, LogDecision):
                assert isinstance(command, ReadKey | WriteKey), command
                self.waiting.append(command)


def answer_all(context, way):
    """Let the store treat every waiting command in the way named."""
    for node in context.claiming.values():
        while node.waiting:
            command = node.waiting[0]
            if way == "holds writes" and isinstance(command, WriteKey):
                break
            node.waiting.pop(0)
            node.step(answer_one(context, command, way), context.claim_now)
            if way in ("loses", "delays") and isinstance(command, WriteKey):
                break


def answer_one(context, command, way):
    failure = StoreCallFailed(
        correlation_id=command.correlation_id,
        key=command.key,
        sent=way != "is down",
    )
    if way == "delays" and isinstance(command, WriteKey):
        context.delayed_write = command
        return failure
    if way == "is down":
        return failure
    answer = context.claim_store.apply(command)
    if way == "loses" and isinstance(command, WriteKey):
        return failure
    return answer


@behave.given("a claim store and the claiming nodes {first} and {second}")
def build_nodes(context, first, second):
    context.claim_store = ClaimStore()
    context.claim_now = START_S
    context.claiming = {
        first: ClaimingNode(first, 1),
        second: ClaimingNode(second, 2),
    }


@behave.when("node {name} claims {request_id} and the store {way}")
def claim(context, name, request_id, way):
    request_claim(context, name, request_id)
    answer_all(context, way)


@behave.when("node {name} claims {request_id} and the store's answer is lost")
def claim_and_lose(context, name, request_id):
    request_claim(context, name, request_id)
    answer_all(context, "loses")


@behave.when(
    "node {name} posts {request_id} until {end:g} and the store answers"
)
def claim_until(context, name, request_id, end):
    request_claim(context, name, request_id, end)
    answer_all(context, "answers")


@behave.when("node {name} posts another of its bucket and the store answers")
def claim_another(context, name):
    (request_id,) = list_neighbours("posting-1", 1)
    end = context.claim_now - START_S + EXPIRY_S
    request_claim(context, name, request_id, end)
    answer_all(context, "answers")


@behave.when(
    "node {name} posts {count:d} others of its bucket and the store holds "
    "writes"
)
def claim_others(context, name, count):
    for request_id in list_neighbours("posting-1", count):
        request_claim(context, name, request_id)
    answer_all(context, "holds writes")


def list_neighbours(request_id, count):
    """Name other requests whose claims stand in the same bucket."""
    key = build_bucket_key(request_id)
    names = (f"neighbour-{number}" for number in itertools.count())
    same = (name for name in names if build_bucket_key(name) == key)
    return list(itertools.islice(same, count))


@behave.given(
    "claims are kept {seconds:g} seconds beyond the clocks' difference"
)
def set_retention(context, seconds):
    for seed, name in enumerate(context.claiming):
        context.claiming[name] = ClaimingNode(
            name, seed, claim_retention_s=seconds
        )


@behave.given("a bucket of {request_id} that is almost full")
def fill_bucket(context, request_id):
    fill_to(context, request_id, MAX_BUCKET_BYTES - 100)


@behave.given("a bucket of {request_id} with room for one claim only")
def fill_bucket_but_one(context, request_id):
    fill_to(context, request_id, MAX_BUCKET_BYTES - 250)


def fill_to(context, request_id, size):
    fill_with(
        context,
        request_id,
        Claim(
            request_id="x" * size,
            token="",
            expires_at=START_S + EXPIRY_S,
        ),
    )


@behave.given("a bucket of {request_id} that is almost full of an outcome")
def fill_bucket_by_outcome(context, request_id):
    outcome = Answer(
        request_id="x" * (MAX_BUCKET_BYTES - 400), outcome=Outcome.ANSWERED
    )
    fill_with(
        context,
        request_id,
        Claim(
            request_id="other",
            token="",
            expires_at=START_S + EXPIRY_S,
            outcome=outcome,
        ),
    )


def fill_with(context, request_id, claim):
    key = build_bucket_key(request_id)
    value = encode_bucket(ClaimBucket(claims=(claim,)))
    assert MAX_BUCKET_BYTES - 250 < len(value) <= MAX_BUCKET_BYTES, len(value)
    context.claim_store.values[key] = value
    context.claim_store.latest[key] = 1


@behave.when("node {name} closes admission and the store answers")
def close_claiming(context, name):
    context.claiming[name].step(AdmissionClosed(), context.claim_now)
    answer_all(context, "answers")


def request_claim(context, name, request_id, end=EXPIRY_S):
    context.claiming[name].step(
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
    context.claiming[name].step(
        ClaimFinished(request_id=request_id, answer=answer), context.claim_now
    )
    answer_all(context, "answers")


@behave.when("{seconds:g} seconds pass and the store {way}")
def pass_claim_time(context, seconds, way):
    end = context.claim_now + seconds
    while True:
        answer_all(context, way)
        wakes = [
            node.core.get_wakeup_time() for node in context.claiming.values()
        ]
        due = min((wake for wake in wakes if wake is not None), default=end)
        if due > end:
            break
        context.claim_now = max(context.claim_now, due)
        for node in context.claiming.values():
            node.step(TimerTick(), context.claim_now)
        if due == end:
            break
    context.claim_now = end


@behave.when("{seconds:g} seconds pass while node {name} is frozen")
def freeze_claiming(context, seconds, name):
    context.claim_now += seconds


@behave.when("the delayed write reaches the store")
def apply_delayed(context):
    context.claim_store.apply(context.delayed_write)


@behave.when("the store answers")
def answer_claims(context):
    answer_all(context, "answers")


@behave.then("node {name} was told granted")
def check_granted(context, name):
    told = context.claiming[name].core.state.told
    assert [type(event) for event in told] == [ClaimGranted], told


@behave.then("node {name} was told {grants:d} grants for {writes:d} writes")
def check_compounded(context, name, grants, writes):
    told = context.claiming[name].core.state.told
    assert [type(event) for event in told] == [ClaimGranted] * grants, told
    assert context.claim_store.latest[build_bucket_key("posting-1")] == writes


@behave.then("one claim stands in the bucket")
def check_collected(context):
    value = context.claim_store.values[build_bucket_key("posting-1")]
    assert len(decode_bucket(value).ok.claims) == 1, value


@behave.then("node {name} was told held twice")
def check_held_twice(context, name):
    told = context.claiming[name].core.state.told
    assert [type(event) for event in told] == [ClaimHeld] * 2, told


@behave.then("node {name} was told refused")
def check_refused(context, name):
    told = context.claiming[name].core.state.told
    assert [type(event) for event in told] == [ClaimRefused], told


@behave.then("node {name} was told held without outcome")
def check_held(context, name):
    (told,) = context.claiming[name].core.state.told
    assert isinstance(told, ClaimHeld), told
    assert told.outcome is None, told


@behave.then("node {name} was told held with outcome {outcome} at last")
def check_held_last(context, name, outcome):
    told = context.claiming[name].core.state.told[-1]
    assert isinstance(told, ClaimHeld), told
    assert told.outcome.outcome == outcome, told


@behave.then("node {name} was told held with outcome {outcome:w}")
def check_held_outcome(context, name, outcome):
    (told,) = context.claiming[name].core.state.told
    assert isinstance(told, ClaimHeld), told
    assert told.outcome.outcome == outcome, told


@behave.then("node {name} has no claim under way")
def check_idle(context, name):
    assert context.claiming[name].core.get_wakeup_time() is None
    assert not context.claiming[name].waiting
