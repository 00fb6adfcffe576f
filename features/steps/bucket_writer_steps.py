"""Steps about the writer of one bucket of claims."""

import random

import behave

from bluebellbay.coordination.postings.bucket_writer import BucketWriter
from bluebellbay.coordination.postings.claim_attempt import ClaimAttempt
from bluebellbay.coordination.postings.record_delay import RecordDelay
from bluebellbay.coordination.timer import TimerQueue
from bluebellbay.protocol.claim import Claim
from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.command import WriteKey
from bluebellbay.protocol.event import KeyRead
from bluebellbay.protocol.event import StoreCallFailed

CALL_S = 0.001


@behave.given("a bucket's writer with a claim that is due for {seconds:d} s")
def step_writer(context, seconds):
    context.steps = []
    context.timers = TimerQueue()
    context.writer = BucketWriter(
        key="bucket",
        max_clock_skew_s=1.0,
        retention_s=60.0,
        record_delay=RecordDelay(max_delay_s=5.0),
        rng=random.Random(1),
        timers=context.timers,
        steps=context.steps,
    )
    context.attempt = ClaimAttempt(
        claim=Claim(request_id="id", token="t", expires_at=seconds),
        deadline=seconds,
        relevant_until=seconds,
        steps=context.steps,
    )


@behave.when("the store answers reads and rejects writes for {seconds:d} s")
def step_reject_writes(context, seconds):
    now = 0.0
    context.writes = 0
    context.writer.add(context.attempt, now)
    while now < seconds:
        if context.steps:
            now += CALL_S
            answer(context, context.steps.pop(0), now)
            continue
        now = max(now, context.timers.get_next_time())
        for timer in context.timers.pop_due(now):
            timer.handle_timeout(now)


def answer(context, command, now):
    names = {"correlation_id": command.correlation_id, "key": command.key}
    if isinstance(command, ReadKey):
        event = KeyRead(**names, value=None, version=0)
    else:
        assert isinstance(command, WriteKey), command
        context.writes += 1
        event = StoreCallFailed(**names, sent=False)
    context.writer.handle_event(event, now)


@behave.then("the store got at most {limit:d} writes")
def step_writes(context, limit):
    assert 0 < context.writes <= limit, context.writes
