"""Property-based steps about guarantees over random histories of a node."""

import collections
import dataclasses
import random

import behave
import hypothesis
from hypothesis import strategies
from query_world import make_rows
from query_world import QueryWorld

from bluebellbay.coordination.queries.merge import ReplyMerger
from bluebellbay.protocol.event import CallerDisconnected
from bluebellbay.protocol.event import LegRefused
from bluebellbay.protocol.event import LegReplied
from bluebellbay.protocol.key_range import FULL_KEY_RANGE
from bluebellbay.protocol.key_range import KEY_SPACE_END
from bluebellbay.protocol.key_range import KeyRange
from bluebellbay.protocol.leg import Holding
from bluebellbay.protocol.leg import LegReply
from bluebellbay.protocol.profile import Profile
from bluebellbay.state.coverage import subtract_ranges

EXAMPLE_COUNT = 150


def hold_for_all(*strategies_, examples=EXAMPLE_COUNT):
    """Turn a check into a property test with the same examples every run."""
    settings = hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )

    def decorate(check):
        return settings(hypothesis.given(*strategies_)(check))

    return decorate


COVERAGE_FLOORS = (0.0, 0.5, 1.0)
SERVER_MODES = (
    "serving",
    "serving",
    "unresponsive",
    "resetting connections",
    "unreachable",
    "overloaded",
    "leaving",
    "snapshot-gone",
    "not-held",
)
SERVICES = 3
SERVER_COUNT = 6
RANGE_UNIT = KEY_SPACE_END // 16

SERVER_NUMBERS = strategies.integers(0, SERVER_COUNT - 1)
RANGE_STARTS = strategies.integers(0, 15)
FORGED_REPLIES = strategies.tuples(
    strategies.just("forge"),
    strategies.integers(0, 4),
    strategies.sampled_from(
        (
            "repeated",
            "unknown-attempt",
            "other-server",
            "other-attempt",
            "truncated",
            "whole-key-space",
            "other-snapshot",
            "rows-beyond-range",
        )
    ),
)
ACTIONS = strategies.one_of(
    strategies.tuples(strategies.just("send"), strategies.integers(0, 2)),
    strategies.tuples(strategies.just("send"), strategies.integers(0, 2)),
    strategies.tuples(strategies.just("wait"), strategies.integers(0, 40)),
    strategies.tuples(
        strategies.just("set-mode"),
        SERVER_NUMBERS,
        strategies.sampled_from(SERVER_MODES),
    ),
    strategies.tuples(
        strategies.just("set-all-modes"), strategies.sampled_from(SERVER_MODES)
    ),
    strategies.tuples(
        strategies.just("hold"),
        SERVER_NUMBERS,
        strategies.integers(1, 3),
        RANGE_STARTS,
        strategies.integers(1, 16),
    ),
    strategies.tuples(
        strategies.just("drop"), SERVER_NUMBERS, strategies.integers(1, 3)
    ),
    strategies.tuples(
        strategies.just("report-falsely"),
        SERVER_NUMBERS,
        strategies.integers(1, 3),
        RANGE_STARTS,
        strategies.integers(1, 16),
    ),
    strategies.tuples(strategies.just("report"), SERVER_NUMBERS),
    strategies.tuples(
        strategies.just("disconnect"), strategies.integers(0, 5)
    ),
    FORGED_REPLIES,
    FORGED_REPLIES,
    FORGED_REPLIES,
)


def make_world(**fields):
    profiles = tuple(
        Profile(name=f"floor-{number}", coverage_floor=floor, extra_load=0.3)
        for number, floor in enumerate(COVERAGE_FLOORS)
    )
    world = QueryWorld(
        indexes=[{"name": "ink", "services": SERVICES}],
        profiles=profiles,
        **fields,
    )
    world.add_services(count=SERVICES)
    return world


def hold(snapshot, first_unit, count):
    end = min(16, first_unit + count)
    return Holding(
        snapshot=snapshot, start=first_unit * RANGE_UNIT, end=end * RANGE_UNIT
    )


def send_forged_reply(world, number, kind):
    """Send the core a reply that no correct server would send now."""
    replies = [i for i in world.delivered_events if isinstance(i, LegReplied)]
    if not replies:
        return
    event = replies[-1 - number % len(replies)]
    reply = event.reply
    if kind in ("unknown-attempt", "other-server", "other-attempt"):
        rows = make_rows("forged", reply.start, reply.end)
        reply = dataclasses.replace(reply, rows=rows)
    if kind == "unknown-attempt":
        event = dataclasses.replace(event, attempt=f"x{event.attempt}")
    elif kind == "other-server":
        other = next(name for name in world.servers if name != event.server)
        event = dataclasses.replace(event, server=other)
    elif kind == "other-attempt":
        reply = dataclasses.replace(reply, attempt=f"x{reply.attempt}")
    elif kind == "truncated":
        half = (reply.start + reply.end) // 2
        reply = dataclasses.replace(reply, end=half)
    elif kind == "whole-key-space":
        reply = dataclasses.replace(reply, start=0, end=KEY_SPACE_END)
    elif kind == "other-snapshot":
        snapshot = reply.snapshot + 1
        rows = make_rows(snapshot, reply.start, reply.end)
        reply = dataclasses.replace(reply, snapshot=snapshot, rows=rows)
    elif kind == "rows-beyond-range":
        stray = make_rows(reply.snapshot, 0, KEY_SPACE_END)
        reply = dataclasses.replace(reply, rows=stray)
    world.step(dataclasses.replace(event, reply=reply))


def send_numbered(world, callers, floor):
    number = len(callers) + 1
    caller = world.send_request(
        profile=f"floor-{floor}", request_id=f"q{number}", query=number
    )
    callers.append(caller)


def disconnect(world, callers, disconnected, number):
    if number >= len(callers):
        return
    caller = callers[number]
    if caller not in world.answers:
        disconnected.add(caller)
    world.step(CallerDisconnected(caller=caller))


def change_server(world, kind, number, *values):
    server = list(world.servers.values())[number]
    if kind == "set-mode":
        server.mode = values[0]
    elif kind == "hold":
        held = hold(*values)
        kept = [i for i in server.held if i.snapshot != held.snapshot]
        server.held = [*kept, held]
    elif kind == "drop":
        server.held = [i for i in server.held if i.snapshot != values[0]]
    elif kind == "report-falsely":
        server.false_holdings = [*server.held, hold(*values)]
    elif kind == "report":
        world.report(server.name)


def run_history(world, actions):
    """Run a history.

    :returns: All callers, and the set of those that disconnected unanswered.
    """
    disconnected = set()
    callers = []
    for kind, *values in actions:
        if kind == "send":
            send_numbered(world, callers, *values)
        elif kind == "wait":
            world.advance(values[0] / 1000)
        elif kind == "disconnect":
            disconnect(world, callers, disconnected, *values)
        elif kind == "forge":
            send_forged_reply(world, *values)
        elif kind == "set-all-modes":
            for number in range(SERVER_COUNT):
                change_server(world, "set-mode", number, *values)
        else:
            change_server(world, kind, *values)
    world.advance(2.0)
    return callers, disconnected


def check_answer(world, caller, answer):
    attempts = {
        command.leg.attempt
        for _, command in world.legs
        if command.leg.query == caller
    }
    assert answer.request_id == f"q{caller}"
    check_coverage(answer)
    if answer.outcome == "not-run":
        for server in world.servers.values():
            assert not [
                leg for leg in server.executed_legs if leg.attempt in attempts
            ]
    if answer.outcome in ("not-run", "failed"):
        assert not answer.rows
        return
    floor = COVERAGE_FLOORS[int(answer.profile[-1])]
    assert answer.coverage.fraction >= floor
    assert answer.coverage.complete == (answer.outcome == "answered")
    check_rows(world, answer, attempts)


def check_coverage(answer):
    covered = subtract_ranges(FULL_KEY_RANGE, answer.coverage.missing)
    size = sum(item.end - item.start for item in covered)
    assert answer.coverage.fraction == size / KEY_SPACE_END
    assert answer.coverage.complete == (size == KEY_SPACE_END)


def check_rows(world, answer, attempts):
    covered = subtract_ranges(FULL_KEY_RANGE, answer.coverage.missing)
    expected = [
        row
        for item in covered
        for row in make_rows(answer.snapshot, item.start, item.end)
    ]
    assert list(answer.rows) == expected, (answer.rows, expected)
    read = [
        KeyRange(start=event.reply.start, end=event.reply.end)
        for event in world.delivered_events
        if isinstance(event, LegReplied)
        and event.attempt in attempts
        and event.reply.snapshot == answer.snapshot
    ]
    for item in covered:
        assert not subtract_ranges(item, read), (item, read)


@behave.then(
    "over random histories every answer's rows match its coverage and snapshot"
)
def check_histories(context):
    seen = collections.Counter()

    @hold_for_all(
        strategies.integers(0, 2**32),
        strategies.lists(ACTIONS, min_size=10, max_size=50),
        examples=400,
    )
    def check(seed, actions):
        world = make_world(seed=seed)
        callers, disconnected = run_history(world, actions)
        for caller in callers:
            answers = world.answers.get(caller, [])
            assert len(answers) == (0 if caller in disconnected else 1), (
                answers
            )
            for answer in answers:
                seen[answer.outcome] += 1
                check_answer(world, caller, answer)
        assert set(world.answers) <= set(callers)
        check_idle(world)

    check()
    assert set(seen) >= {"answered", "partial", "failed", "not-run"}, seen


def check_idle(world):
    for record in world.state.servers.servers.values():
        assert record.outstanding == 0, record


@behave.then("for any replies of one snapshot no row is merged twice")
def check_overlaps(context):
    @hold_for_all(
        strategies.lists(
            strategies.tuples(RANGE_STARTS, strategies.integers(1, 16)),
            max_size=8,
        )
    )
    def check(ranges):
        merger = ReplyMerger(snapshot=1)
        for first_unit, count in ranges:
            held = hold(1, first_unit, count)
            merger.add(
                LegReply(
                    attempt="a",
                    snapshot=1,
                    start=held.start,
                    end=held.end,
                    rows=make_rows(1, held.start, held.end),
                )
            )
        coverage = merger.compute_coverage()
        covered = subtract_ranges(FULL_KEY_RANGE, coverage.missing)
        size = sum(item.end - item.start for item in covered)
        assert coverage.fraction == size / KEY_SPACE_END
        assert merger.list_rows() == tuple(
            row
            for item in covered
            for row in make_rows(1, item.start, item.end)
        )

    check()


@behave.then("over random roll-outs every query is answered in full")
def check_roll_outs(context):
    restarts = []

    @hold_for_all(
        strategies.integers(0, 2**32),
        strategies.permutations(range(SERVICES)),
        strategies.permutations(range(SERVICES)),
        strategies.lists(strategies.integers(0, 30), min_size=12, max_size=12),
        strategies.booleans(),
    )
    def check(seed, first, second, waits, reports_stale):
        world = make_world(seed=seed)
        callers = []
        changes = [(number, 0) for number in first]
        changes += [(number, 1) for number in second]
        for (number, replica), before, after in zip(
            changes, waits[::2], waits[1::2], strict=True
        ):
            callers.append(world.send_request(profile="floor-0"))
            world.advance(before / 1000)
            server = world.servers[f"ink-{number}-{replica}"]
            if reports_stale:
                server.false_holdings = server.held
            server.held = [
                dataclasses.replace(item, snapshot=2) for item in server.held
            ]
            callers.append(world.send_request(profile="floor-0"))
            world.advance(after / 1000)
            server.false_holdings = None
        world.advance(2.0)
        callers.append(world.send_request(profile="floor-0"))
        world.advance(2.0)
        for caller in callers:
            answer = world.get_answer(caller)
            assert answer.outcome == "answered", answer
            check_rows_of_one_snapshot(answer)
        restarts.append(world.state.query_counters.restarts)

    check()
    assert sum(restarts) > 0


def check_rows_of_one_snapshot(answer):
    rows = make_rows(answer.snapshot, 0, KEY_SPACE_END)
    assert answer.rows == rows


@behave.then("over random repartitions every query is answered in full")
def check_repartitions(context):
    replacement_counts = []

    @hold_for_all(
        strategies.integers(0, 2**32),
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, SERVICES - 2),
                strategies.integers(1, 15),
                strategies.integers(0, 25),
                strategies.booleans(),
            ),
            min_size=1,
            max_size=8,
        ),
    )
    def check(seed, moves):
        world = make_world(seed=seed)
        bounds = [KEY_SPACE_END * n // SERVICES for n in range(SERVICES + 1)]
        callers = []
        for number, point, wait, reported in moves:
            callers.append(world.send_request(profile="floor-2"))
            world.advance(wait / 1000)
            low, high = bounds[number], bounds[number + 2]
            bounds[number + 1] = low + (high - low) * point // 16
            for side in (number, number + 1):
                shard = Holding(
                    snapshot=1, start=bounds[side], end=bounds[side + 1]
                )
                for replica in range(2):
                    server = world.servers[f"ink-{side}-{replica}"]
                    server.held = [shard]
                    if reported:
                        world.report(server.name)
            callers.append(world.send_request(profile="floor-2"))
            world.advance(0.05)
        world.advance(2.0)
        for caller in callers:
            answer = world.get_answer(caller)
            assert answer.outcome == "answered", answer
            check_rows_of_one_snapshot(answer)
        replacement_counts.append(world.state.query_counters.replacements)

    check()
    assert sum(replacement_counts) > 0


@behave.then("over random loads extra legs never exceed the profile's share")
def check_extra_load(context):
    extra_legs = []

    @hold_for_all(
        strategies.integers(0, 2**32),
        strategies.sampled_from((0.0, 0.02, 0.05, 0.3)),
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 400),
                SERVER_NUMBERS,
                strategies.sampled_from(SERVER_MODES),
                strategies.integers(1, 12),
            ),
            min_size=20,
            max_size=60,
        ),
        examples=40,
    )
    def check(seed, share, changes):
        profile = Profile(name="floor-0", coverage_floor=0.0, extra_load=share)
        world = make_world(seed=seed)
        world.set_profiles(profile)
        names = list(world.servers)
        rng = random.Random(seed)  # noqa: S311
        for wait, number, mode, burst in changes:
            server = world.servers[names[number]]
            server.mode = mode
            server.latency_s = rng.choice((0.002, 0.01, 0.08))
            for _ in range(burst):
                world.send_request(profile="floor-0", query=rng.random())
            world.advance(wait / 1000)
        world.advance(1.0)
        extra_legs.append(check_extra_legs(world, share))

    check()
    assert sum(extra_legs) > 0


def check_extra_legs(world, share):
    """Check the share of extra legs in each window of ten seconds.

    Extra legs are counted from the commands alone, not from the core's
    budget. A leg is extra if an earlier one of the same query and range may
    have run: it was neither refused nor left unsent.

    :returns: The number of extra legs.
    """
    not_executed = {
        event.attempt
        for event in world.delivered_events
        if isinstance(event, LegRefused)
    } | world.unsent
    seen = set()
    first = []
    extra = []
    for at, command in world.legs:
        leg = command.leg
        if leg.attempt in not_executed:
            continue
        range_key = (leg.query, leg.start, leg.end)
        (extra if range_key in seen else first).append(at)
        seen.add(range_key)
    for end in extra:
        count = sum(1 for at in extra if end - 10 <= at <= end)
        allowed = share * sum(1 for at in first if end - 10 <= at <= end)
        assert count <= allowed, (count, allowed)
    return len(extra)


@behave.then(
    "over random failures each service always has a replica that is not "
    "ejected"
)
def check_ejection(context):
    ejections = []

    @hold_for_all(
        strategies.integers(0, 2**32),
        strategies.lists(
            strategies.tuples(
                SERVER_NUMBERS,
                strategies.sampled_from(
                    (
                        "resetting connections",
                        "unreachable",
                        "unresponsive",
                        "serving",
                    )
                ),
            ),
            min_size=10,
            max_size=40,
        ),
    )
    def check(seed, changes):
        world = make_world(seed=seed)
        names = list(world.servers)
        for number, mode in changes:
            world.servers[names[number]].mode = mode
            for _ in range(3):
                world.send_request(profile="floor-0")
                world.advance(0.3)
                check_services_in_use(world)
        ejections.append(world.state.query_counters.ejections)

    check()
    assert sum(ejections) > 0


def check_services_in_use(world):
    in_use = {
        record.service
        for record in world.state.servers.servers.values()
        if record.ejected_until <= world.now
    }
    assert len(in_use) == SERVICES, in_use
