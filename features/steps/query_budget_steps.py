"""Steps for the extra legs that a profile allows."""

import behave

from bluebellbay.coordination.queries.budget import BudgetTable
from bluebellbay.coordination.queries.budget import WINDOW_S
from bluebellbay.protocol.profile import Profile

START_S = 1_000.0


@behave.given(
    "a profile with a delay of {delay_s:g} s and an extra load of {share:g}"
)
def make_profile(context, delay_s, share):
    profile = Profile(
        name="p",
        coverage_floor=1.0,
        delay_ms=int(delay_s * 1000),
        extra_load=share,
        rank=0,
    )
    context.share = share
    context.budget = BudgetTable().get(profile)


@behave.when(
    "{count:d} first legs are sent at 0 s, and replied to in reverse order by "
    "{replied_s:g} s"
)
def reply_to_first_legs(context, count, replied_s):
    del replied_s
    for number in reversed(range(count)):
        context.budget.record_first_leg(START_S + number / 1000)


@behave.then("{count:d} extra legs are granted at {at_s:g} s")
def check_granted(context, count, at_s):
    granted = 0
    while context.budget.try_acquire(context.share, START_S + at_s):
        granted += 1
    assert granted == count, granted


@behave.then("none is granted once the first legs are 10 s old")
def check_none_granted(context):
    now = START_S + WINDOW_S + 1
    assert not context.budget.try_acquire(context.share, now)
