"""Steps about promises that hold over any history of a node."""

import collections
import dataclasses
import random

import behave
import hypothesis
from hypothesis import strategies
from query_world import make_rows
from query_world import QueryWorld

from bluebellbay.coordination.queries.merge import Merger
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

EXAMPLES = 150


def hold_for_all(*strategies_, examples=EXAMPLES):
    """Make a property of a function, tried the same way on every run."""
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


FLOORS = (0.0, 0.5, 1.0)
MODES = (
    "serve",
    "serve",
    "silent",
    "broken",
    "cut",
    "overloaded",
    "leaving",
    "snapshot-gone",
    "not-held",
)
SERVICES = 3
SERVER_COUNT = 6
UNIT = KEY_SPACE_END // 16

SERVERS = strategies.integers(0, SERVER_COUNT - 1)
POINTS = strategies.integers(0, 15)
FORGERIES = strategies.tuples(
    strategies.just("forge"),
    strategies.integers(0, 4),
    strategies.sampled_from(
        (
            "again",
            "foreign",
            "other-server",
            "inner",
            "cut-short",
            "beyond",
            "other-snapshot",
            "stray-row",
        )
    ),
)
ACTIONS = strategies.one_of(
    strategies.tuples(strategies.just("ask"), strategies.integers(0, 2)),
    strategies.tuples(strategies.just("ask"), strategies.integers(0, 2)),
    strategies.tuples(strategies.just("wait"), strategies.integers(0, 40)),
    strategies.tuples(
        strategies.just("mode"), SERVERS, strategies.sampled_from(MODES)
    ),
    strategies.tuples(strategies.just("all"), strategies.sampled_from(MODES)),
    strategies.tuples(
        strategies.just("hold"),
        SERVERS,
        strategies.integers(1, 3),
        POINTS,
        strategies.integers(1, 16),
    ),
    strategies.tuples(
        strategies.just("drop"), SERVERS, strategies.integers(1, 3)
    ),
    strategies.tuples(
        strategies.just("lie"),
        SERVERS,
        strategies.integers(1, 3),
        POINTS,
        strategies.integers(1, 16),
    ),
    strategies.tuples(strategies.just("report"), SERVERS),
    strategies.tuples(strategies.just("gone"), strategies.integers(0, 5)),
    FORGERIES,
    FORGERIES,
    FORGERIES,
)


def make_world(**fields):
    profiles = tuple(
        Profile(name=f"floor-{place}", coverage_floor=floor, extra_load=0.3)
        for place, floor in enumerate(FLOORS)
    )
    world = QueryWorld(
        indexes=[{"name": "ink", "services": SERVICES}],
        profiles=profiles,
        **fields,
    )
    world.add_services(count=SERVICES)
    return world


def hold(snapshot, place, count):
    end = min(16, place + count)
    return Holding(snapshot=snapshot, start=place * UNIT, end=end * UNIT)


def forge(world, place, kind):
    """Feed a reply that no honest exchange would have brought now."""
    replies = [i for i in world.delivered if isinstance(i, LegReplied)]
    if not replies:
        return
    event = replies[-1 - place % len(replies)]
    reply = event.reply
    if kind in ("foreign", "other-server", "inner"):
        rows = make_rows("foreign", reply.start, reply.end)
        reply = dataclasses.replace(reply, rows=rows)
    if kind == "foreign":
        event = dataclasses.replace(event, attempt=f"x{event.attempt}")
    elif kind == "other-server":
        other = next(name for name in world.servers if name != event.server)
        event = dataclasses.replace(event, server=other)
    elif kind == "inner":
        reply = dataclasses.replace(reply, attempt=f"x{reply.attempt}")
    elif kind == "cut-short":
        half = (reply.start + reply.end) // 2
        reply = dataclasses.replace(reply, end=half)
    elif kind == "beyond":
        reply = dataclasses.replace(reply, start=0, end=KEY_SPACE_END)
    elif kind == "other-snapshot":
        snapshot = reply.snapshot + 1
        rows = make_rows(snapshot, reply.start, reply.end)
        reply = dataclasses.replace(reply, snapshot=snapshot, rows=rows)
    elif kind == "stray-row":
        stray = make_rows(reply.snapshot, 0, KEY_SPACE_END)
        reply = dataclasses.replace(reply, rows=stray)
    world.step(dataclasses.replace(event, reply=reply))


def ask_numbered(world, callers, floor):
    place = len(callers) + 1
    caller = world.ask(
        profile=f"floor-{floor}", request_id=f"q{place}", query=place
    )
    callers.append(caller)


def leave(world, callers, gone, place):
    if place >= len(callers):
        return
    caller = callers[place]
    if caller not in world.answers:
        gone.add(caller)
    world.step(CallerDisconnected(caller=caller))


def change_server(world, kind, number, *values):
    server = list(world.servers.values())[number]
    if kind == "mode":
        server.mode = values[0]
    elif kind == "hold":
        held = hold(*values)
        kept = [i for i in server.held if i.snapshot != held.snapshot]
        server.held = [*kept, held]
    elif kind == "drop":
        server.held = [i for i in server.held if i.snapshot != values[0]]
    elif kind == "lie":
        server.lie = [*server.held, hold(*values)]
    elif kind == "report":
        world.report(server.name)


def play(world, actions):
    """Run a history; returns the callers, and those who went away."""
    gone = set()
    callers = []
    for kind, *values in actions:
        if kind == "ask":
            ask_numbered(world, callers, *values)
        elif kind == "wait":
            world.run(values[0] / 1000)
        elif kind == "gone":
            leave(world, callers, gone, *values)
        elif kind == "forge":
            forge(world, *values)
        elif kind == "all":
            for number in range(SERVER_COUNT):
                change_server(world, "mode", number, *values)
        else:
            change_server(world, kind, *values)
    world.run(2.0)
    return callers, gone


def check_answer(world, caller, answer):
    mine = {
        command.leg.attempt
        for _, command in world.legs
        if command.leg.query == caller
    }
    assert answer.request_id == f"q{caller}"
    check_coverage(answer)
    if answer.outcome == "not-run":
        for server in world.servers.values():
            assert not [leg for leg in server.runs if leg.attempt in mine]
    if answer.outcome in ("not-run", "failed"):
        assert not answer.rows
        return
    floor = FLOORS[int(answer.profile[-1])]
    assert answer.coverage.fraction >= floor
    assert answer.coverage.complete == (answer.outcome == "answered")
    check_rows(world, answer, mine)


def check_coverage(answer):
    covered = subtract_ranges(FULL_KEY_RANGE, answer.coverage.missing)
    size = sum(item.end - item.start for item in covered)
    assert answer.coverage.fraction == size / KEY_SPACE_END
    assert answer.coverage.complete == (size == KEY_SPACE_END)


def check_rows(world, answer, mine):
    covered = subtract_ranges(FULL_KEY_RANGE, answer.coverage.missing)
    expected = [
        row
        for item in covered
        for row in make_rows(answer.snapshot, item.start, item.end)
    ]
    assert list(answer.rows) == expected, (answer.rows, expected)
    read = [
        KeyRange(start=event.reply.start, end=event.reply.end)
        for event in world.delivered
        if isinstance(event, LegReplied)
        and event.attempt in mine
        and event.reply.snapshot == answer.snapshot
    ]
    for item in covered:
        assert not subtract_ranges(item, read), (item, read)


@behave.then(
    "over random histories every answer states what its rows came from"
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
        callers, gone = play(world, actions)
        for caller in callers:
            answers = world.answers.get(caller, [])
            assert len(answers) == (0 if caller in gone else 1), answers
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


@behave.then("for any replies of one snapshot no row counts twice")
def check_overlaps(context):
    @hold_for_all(
        strategies.lists(
            strategies.tuples(POINTS, strategies.integers(1, 16)), max_size=8
        )
    )
    def check(places):
        merger = Merger(snapshot=1)
        for place, count in places:
            held = hold(1, place, count)
            merger.add(
                LegReply(
                    attempt="a",
                    snapshot=1,
                    start=held.start,
                    end=held.end,
                    rows=make_rows(1, held.start, held.end),
                )
            )
        coverage = merger.measure()
        covered = subtract_ranges(FULL_KEY_RANGE, coverage.missing)
        size = sum(item.end - item.start for item in covered)
        assert coverage.fraction == size / KEY_SPACE_END
        assert merger.list_rows() == tuple(
            row
            for item in covered
            for row in make_rows(1, item.start, item.end)
        )

    check()


@behave.then("over random roll-outs every query is answered whole")
def check_roll_outs(context):
    restarts = []

    @hold_for_all(
        strategies.integers(0, 2**32),
        strategies.permutations(range(SERVICES)),
        strategies.permutations(range(SERVICES)),
        strategies.lists(strategies.integers(0, 30), min_size=12, max_size=12),
        strategies.booleans(),
    )
    def check(seed, first, second, waits, lie):
        world = make_world(seed=seed)
        callers = []
        turns = [(number, 0) for number in first]
        turns += [(number, 1) for number in second]
        for (number, replica), before, after in zip(
            turns, waits[::2], waits[1::2], strict=True
        ):
            callers.append(world.ask(profile="floor-0"))
            world.run(before / 1000)
            server = world.servers[f"ink-{number}-{replica}"]
            if lie:
                server.lie = server.held
            server.held = [
                dataclasses.replace(item, snapshot=2) for item in server.held
            ]
            callers.append(world.ask(profile="floor-0"))
            world.run(after / 1000)
            server.lie = None
        world.run(2.0)
        callers.append(world.ask(profile="floor-0"))
        world.run(2.0)
        for caller in callers:
            answer = world.answer_of(caller)
            assert answer.outcome == "answered", answer
            check_rows_of_one_snapshot(answer)
        restarts.append(world.state.query_counters.restarts)

    check()
    assert sum(restarts) > 0


def check_rows_of_one_snapshot(answer):
    rows = make_rows(answer.snapshot, 0, KEY_SPACE_END)
    assert answer.rows == rows


@behave.then("over random repartitions every query is answered whole")
def check_repartitions(context):
    holes = []

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
            callers.append(world.ask(profile="floor-2"))
            world.run(wait / 1000)
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
            callers.append(world.ask(profile="floor-2"))
            world.run(0.05)
        world.run(2.0)
        for caller in callers:
            answer = world.answer_of(caller)
            assert answer.outcome == "answered", answer
            check_rows_of_one_snapshot(answer)
        holes.append(world.state.query_counters.replacements)

    check()
    assert sum(holes) > 0


@behave.then("over random loads extra legs never exceed the profile's share")
def check_extra_load(context):
    extra_legs = []

    @hold_for_all(
        strategies.integers(0, 2**32),
        strategies.sampled_from((0.0, 0.02, 0.05, 0.3)),
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 400),
                SERVERS,
                strategies.sampled_from(MODES),
                strategies.integers(1, 12),
            ),
            min_size=20,
            max_size=60,
        ),
        examples=40,
    )
    def check(seed, share, turns):
        profile = Profile(name="floor-0", coverage_floor=0.0, extra_load=share)
        world = make_world(seed=seed)
        world.set_profiles(profile)
        names = list(world.servers)
        rng = random.Random(seed)  # noqa: S311
        for wait, place, mode, burst in turns:
            server = world.servers[names[place]]
            server.mode = mode
            server.latency_s = rng.choice((0.002, 0.01, 0.08))
            for _ in range(burst):
                world.ask(profile="floor-0", query=rng.random())
            world.run(wait / 1000)
        world.run(1.0)
        extra_legs.append(check_windows(world, share))

    check()
    assert sum(extra_legs) > 0


def check_windows(world, share):
    """Count extra legs as an observer would; returns their number.

    A leg is extra if an earlier one of the same query and range may have
    run: it was neither refused nor left unsent.
    """
    harmless = {
        event.attempt
        for event in world.delivered
        if isinstance(event, LegRefused)
    } | world.unsent
    seen = set()
    first = []
    extra = []
    for at, command in world.legs:
        leg = command.leg
        if leg.attempt in harmless:
            continue
        wanted = (leg.query, leg.start, leg.end)
        (extra if wanted in seen else first).append(at)
        seen.add(wanted)
    for end in extra:
        count = sum(1 for at in extra if end - 10 <= at <= end)
        allowed = share * sum(1 for at in first if end - 10 <= at <= end)
        assert count <= allowed, (count, allowed)
    return len(extra)


@behave.then("over random failures a replica of each service is always in use")
def check_ejection(context):
    ejections = []

    @hold_for_all(
        strategies.integers(0, 2**32),
        strategies.lists(
            strategies.tuples(
                SERVERS,
                strategies.sampled_from(("broken", "cut", "silent", "serve")),
            ),
            min_size=10,
            max_size=40,
        ),
    )
    def check(seed, turns):
        world = make_world(seed=seed)
        names = list(world.servers)
        for place, mode in turns:
            world.servers[names[place]].mode = mode
            for _ in range(3):
                world.ask(profile="floor-0")
                world.run(0.3)
                check_in_use(world)
        ejections.append(world.state.query_counters.ejections)

    check()
    assert sum(ejections) > 0


def check_in_use(world):
    in_use = {
        record.service
        for record in world.state.servers.servers.values()
        if record.ejected_until <= world.now
    }
    assert len(in_use) == SERVICES, in_use
