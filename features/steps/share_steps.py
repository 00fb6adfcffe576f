"""Steps about each node's share of a server's connection limit."""

import behave
import hypothesis
from hypothesis import strategies
from share_simulation import CONNECTION_LIMIT
from share_simulation import LINGER_S
from share_simulation import MAX_LIST_LAG_S
from share_simulation import ShareSimulation

MAX_WAIT_S = 120.0
RUN_TIMES_S = (0.1, 0.5, 2.0, 8.0, LINGER_S + 2)

VM_POSITIONS = strategies.integers(0, 5)
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
                "keep connections in use",
                "delay list",
                "replace all",
            )
        ),
        VM_POSITIONS,
        VM_POSITIONS,
        strategies.sampled_from(RUN_TIMES_S),
    ),
    min_size=1,
    max_size=14,
)


def start_vm(simulation, names, position, choice):
    """Start a VM, in some cases with settings of its own.

    Only a VM that the other settings do not name gets settings of its own:
    depending on ``choice``, it replaces one of the named VMs, or the VMs
    from its position on replace all of them.

    :param simulation: The simulation.
    :param names: Names of all VMs.
    :param position: Position of the VM among the names.
    :param choice: Number that selects its settings.
    """
    configured = list(simulation.configured)
    if names[position] not in configured and choice % 3 == 1:
        configured[choice % len(configured)] = names[position]
    if names[position] not in configured and choice % 3 == 2:
        configured = (names[position:] + names)[: len(configured)]
    simulation.start(names[position], configured)


def replace_all(simulation, names, choice):
    """Lose every running VM and start the VMs that are not running.

    :param simulation: The simulation.
    :param names: Names of all VMs.
    :param choice: Number that selects the settings of those started.
    """
    running = tuple(simulation.nodes)
    for name in running:
        simulation.lose(name)
    for position, name in enumerate(names):
        if name not in running:
            start_vm(simulation, names, position, choice)


def apply_action(simulation, names, action):
    kind, first, second, run_s = action
    name, other = names[first], names[second]
    match kind:
        case "start":
            start_vm(simulation, names, first, second)
        case "kill" | "lose" | "stop":
            getattr(simulation, kind)(name)
        case "replace all":
            replace_all(simulation, names, second)
        case "cut":
            simulation.cut(name, other)
        case "isolate":
            simulation.isolate(name)
        case "heal":
            simulation.heal()
        case "freeze":
            simulation.freeze(name)
        case "keep connections in use":
            simulation.closes_excess = False
        case "delay list":
            simulation.set_list_lag(MAX_LIST_LAG_S * second / 5)
    simulation.run(run_s)


@behave.then(
    "over {count:d} random histories of {configured:d} configured VMs no "
    "server's limit is exceeded"
)
def check_random_histories(context, count, configured):
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
    def check(history, initial_count, seed):
        simulation = ShareSimulation(
            configured=names[:configured], seed=seed, loss_ratio=0.05
        )
        for name in names[:initial_count]:
            simulation.start(name)
        simulation.run(1.0)
        for action in history:
            apply_action(simulation, names, action)
            assert simulation.max_open <= CONNECTION_LIMIT, simulation.max_open

    check()


@behave.given('a fleet of VMs "{names}" in virtual time')
def start_fleet(context, names):
    context.simulation = ShareSimulation(configured=names.split(), seed=1)
    for name in names.split():
        context.simulation.start(name)


@behave.given(
    'a fleet of VMs "{names}" in virtual time, of which "{silent}" is silent'
)
def start_fleet_with_silent_vm(context, names, silent):
    context.simulation = ShareSimulation(
        configured=[*names.split(), silent], seed=1
    )
    context.simulation.start(silent)
    context.simulation.kill(silent)
    for name in names.split():
        context.simulation.start(name)


@behave.when("{seconds:g} s pass in the fleet")
def pass_time(context, seconds):
    context.simulation.run(seconds)


@behave.when('VM "{name}" is frozen')
def freeze(context, name):
    context.simulation.nodes[name].frozen = True


@behave.when('VM "{name}" thaws')
def thaw(context, name):
    context.simulation.nodes[name].frozen = False


@behave.when('VM "{name}" is started with settings that name "{configured}"')
def start(context, name, configured):
    context.simulation.start(name, configured.split())


@behave.when("all connections of the fleet stay in use")
def stay_in_use(context):
    context.simulation.closes_excess = False


@behave.when(
    "the links of the fleet are restored and its connections become idle"
)
def heal(context):
    context.simulation.heal()


@behave.when('the platform\'s list lags by {lag_s:g} s for VM "{name}"')
def set_vm_list_lag(context, lag_s, name):
    context.simulation.list_lags_s[name] = lag_s


@behave.when('VM "{name}" is cut off from "{others}"')
def cut_off_vm(context, name, others):
    for other in others.split():
        context.simulation.cut(name, other)


@behave.when(
    'VMs "{first_names}" are cut off from "{first_targets}" and '
    '"{second_names}" from "{second_targets}"'
)
def cut_off_groups(
    context, first_names, first_targets, second_names, second_targets
):
    for group, targets in (
        (first_names, first_targets),
        (second_names, second_targets),
    ):
        for name in group.split():
            for target in targets.split():
                context.simulation.cut(name, target)


@behave.when('VM "{name}" is lost')
def lose(context, name):
    context.simulation.lose(name)


@behave.when('VM "{name}" closes its connections and ends')
def stop(context, name):
    context.simulation.stop(name)


@behave.when('the process of VM "{name}" is killed and started again')
def restart(context, name):
    context.simulation.kill(name)
    context.simulation.start(name)


@behave.when('VMs "{lost}" are lost and "{started}" are started')
def replace(context, lost, started):
    for name in lost.split():
        context.simulation.lose(name)
    for name in started.split():
        context.simulation.start(name, started.split())


def read_shares(text):
    pairs = (item.split("=") for item in text.split())
    return {name: int(share) for name, share in pairs}


@behave.then('the shares of the fleet are "{text}"')
def check_shares(context, text):
    found = context.simulation.list_shares()
    assert found == read_shares(text), found
    assert context.simulation.max_open <= CONNECTION_LIMIT, (
        context.simulation.max_open
    )


@behave.then(
    'the shares of the fleet become "{text}" after {min_s:g} to {max_s:g} s'
)
def check_shares_within(context, text, min_s, max_s):
    simulation = context.simulation
    started_at = simulation.now
    while simulation.list_shares() != read_shares(text):
        simulation.run(0.1)
        assert simulation.now - started_at < MAX_WAIT_S, (
            simulation.list_shares()
        )
    elapsed_s = simulation.now - started_at
    print(f"after {elapsed_s:.1f} s")
    assert min_s <= elapsed_s <= max_s, elapsed_s
    assert simulation.max_open <= CONNECTION_LIMIT, simulation.max_open
