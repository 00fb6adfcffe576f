"""Steps about the coverage computed from key ranges."""

import behave
import hypothesis
from hypothesis import strategies

from bluebellbay.protocol.key_range import KEY_SPACE_END
from bluebellbay.protocol.key_range import KeyRange
from bluebellbay.state.coverage import measure_coverage
from bluebellbay.state.coverage import merge_ranges


def parse_range(text):
    start, end = text.split("-")
    return KeyRange(start=int(start), end=int(end))


def make_range(pair):
    return KeyRange(start=min(pair), end=max(pair) + 1)


KEY_RANGES = strategies.tuples(
    strategies.integers(0, KEY_SPACE_END - 1),
    strategies.integers(0, KEY_SPACE_END - 1),
).map(make_range)


@behave.given("the covered ranges {first} and {second}")
def set_covered_ranges(context, first, second):
    context.covered = (parse_range(first), parse_range(second))


@behave.when("the coverage is measured")
def measure(context):
    context.coverage = measure_coverage(context.covered)


@behave.then("the coverage fraction is {fraction:g}")
def check_fraction(context, fraction):
    assert context.coverage.fraction == fraction, context.coverage


@behave.then("the missing ranges are {text}")
def check_missing(context, text):
    assert context.coverage.missing == (parse_range(text),)


@behave.then(
    "for any ranges the gaps and the covered keys make up the key space"
)
def check_gaps_complement_ranges(context):
    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(strategies.lists(KEY_RANGES, max_size=8))
    def check(ranges):
        coverage = measure_coverage(ranges)
        merged = merge_ranges((*ranges, *coverage.missing))
        assert merged == (KeyRange(start=0, end=KEY_SPACE_END),)
        size = sum(item.end - item.start for item in merge_ranges(ranges))
        assert coverage.fraction == size / KEY_SPACE_END
        assert coverage.complete == (not coverage.missing)
        for gap in coverage.missing:
            for item in ranges:
                assert gap.end <= item.start or item.end <= gap.start

    check()
