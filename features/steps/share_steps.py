"""Steps about the shares of connections."""

import behave
import hypothesis
from hypothesis import strategies
from share_world import LIMIT
from share_world import LINGER_S
from share_world import LONGEST_LAG_S
from share_world import ShareWorld

LONGEST_WAIT_S = 120.0
PAUSES_S = (0.1, 0.5, 2.0, 8.0, LINGER_S + 2)

PLACES = strategies.integers(0, 5)
HISTORIES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            (
                "start",
                "start",
                "start",
                "kill",
                "lose",
                "stop",
                "cut",
                "isolate",
                "heal",
                "freeze",
                "busy",
                "lag",
                "replace",
            )
        ),
        PLACES,
        PLACES,
        strategies.sampled_from(PAUSES_S),
    ),
    min_size=1,
    max_size=14,
)


def start_vm(world, names, place, choice):
    """Start a VM; one that others' settings don't name has its own view."""
    named = list(world.named)
    if names[place] not in named and choice % 3 == 1:
        named[choice % len(named)] = names[place]
    if names[place] not in named and choice % 3 == 2:
        named = (names[place:] + names)[: len(named)]
    world.start(names[place], named)


def replace_all(world, names, choice):
    """Lose every VM that runs, and start the others."""
    running = tuple(world.nodes)
    for name in running:
        world.lose(name)
    for place, name in enumerate(names):
        if name not in running:
            start_vm(world, names, place, choice)


def apply(world, names, action):
    kind, first, second, pause_s = action
    name, other = names[first], names[second]
    match kind:
        case "start":
            start_vm(world, names, first, second)
        case "kill" | "lose" | "stop":
            getattr(world, kind)(name)
        case "replace":
            replace_all(world, names, second)
        case "cut":
            world.cut(name, other)
        case "isolate":
            world.isolate(name)
        case "heal":
            world.heal()
        case "freeze":
            world.freeze(name)
        case "busy":
            world.settling = False
        case "lag":
            world.set_lag(LONGEST_LAG_S * second / 5)
    world.run(pause_s)


@behave.then(
    "over {count:d} random histories of {named:d} named VMs no server's limit "
    "is exceeded"
)
def check_histories(context, count, named):
    names = [f"vm-{number}" for number in range(6)]

    @hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=count,
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        HISTORIES,
        strategies.integers(0, 4),
        strategies.integers(0, 2**16),
    )
    def check(history, running, seed):
        world = ShareWorld(named=names[:named], seed=seed, loss=0.05)
        for name in names[:running]:
            world.start(name)
        world.run(1.0)
        for action in history:
            apply(world, names, action)
            assert world.most <= LIMIT, world.most

    check()


@behave.given('a fleet of VMs "{names}" in virtual time')
def start_fleet(context, names):
    context.world = ShareWorld(named=names.split(), seed=1)
    for name in names.split():
        context.world.start(name)


@behave.given(
    'a fleet of VMs "{names}" in virtual time, of which "{silent}" is silent'
)
def start_partial_fleet(context, names, silent):
    context.world = ShareWorld(named=[*names.split(), silent], seed=1)
    context.world.start(silent)
    context.world.kill(silent)
    for name in names.split():
        context.world.start(name)


@behave.when("{seconds:g} s pass in the fleet")
def pass_time(context, seconds):
    context.world.run(seconds)


@behave.when('VM "{name}" is frozen')
def freeze(context, name):
    context.world.nodes[name].frozen = True


@behave.when('VM "{name}" thaws')
def thaw(context, name):
    context.world.nodes[name].frozen = False


@behave.when('VM "{name}" is started with settings that name "{named}"')
def start(context, name, named):
    context.world.start(name, named.split())


@behave.when("all connections of the fleet stay in use")
def stay_in_use(context):
    context.world.settling = False


@behave.when("the fleet is joined again")
def join_again(context):
    context.world.heal()


@behave.when('the platform\'s list lags by {lag_s:g} s for VM "{name}"')
def let_list_lag(context, lag_s, name):
    context.world.lags[name] = lag_s


@behave.when('VM "{name}" is cut off from "{others}"')
def cut_off_one(context, name, others):
    for other in others.split():
        context.world.cut(name, other)


@behave.when(
    'VMs "{names}" are cut off from "{others}" and "{more}" from "{rest}"'
)
def cut_off(context, names, others, more, rest):
    for group, targets in ((names, others), (more, rest)):
        for name in group.split():
            for target in targets.split():
                context.world.cut(name, target)


@behave.when('VM "{name}" is lost')
def lose(context, name):
    context.world.lose(name)


@behave.when('VM "{name}" closes its connections and ends')
def stop(context, name):
    context.world.stop(name)


@behave.when('the process of VM "{name}" is killed and started again')
def restart(context, name):
    context.world.kill(name)
    context.world.start(name)


@behave.when('VMs "{lost}" are lost and "{started}" are started')
def replace(context, lost, started):
    for name in lost.split():
        context.world.lose(name)
    for name in started.split():
        context.world.start(name, started.split())


def read_shares(text):
    pairs = (item.split("=") for item in text.split())
    return {name: int(share) for name, share in pairs}


@behave.then('the shares of the fleet are "{text}"')
def check_shares(context, text):
    found = context.world.list_limits()
    assert found == read_shares(text), found
    assert context.world.most <= LIMIT, context.world.most


@behave.then(
    'the shares of the fleet become "{text}" after {least:g} to {most:g} s'
)
def check_time(context, text, least, most):
    world = context.world
    began_at = world.now
    while world.list_limits() != read_shares(text):
        world.run(0.1)
        assert world.now - began_at < LONGEST_WAIT_S, world.list_limits()
    passed = world.now - began_at
    print(f"after {passed:.1f} s")
    assert least <= passed <= most, passed
    assert world.most <= LIMIT, world.most
