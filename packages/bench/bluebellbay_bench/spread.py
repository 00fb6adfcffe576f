"""Prints how configuration and membership spread, and what they cost.

The fleets are loops in virtual time; ``spread_loop`` says what they leave
out. Counts and virtual times are the same on every run with a seed and are
held against bounds. Processor time and memory are printed only.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import pathlib
import sys

import tabulate

from bluebellbay_bench.control_cost import CostFigures
from bluebellbay_bench.control_cost import measure_cost
from bluebellbay_bench.spread_trial import list_missed_bounds
from bluebellbay_bench.spread_trial import SpreadFigures
from bluebellbay_bench.spread_trial import SpreadTrial

SEED = 1
SIZES = (4, 40, 480)
# Entry VMs and backend servers.
COST_SIZES = ((4, 109), (480, 109), (480, 2300))
PROCESSES = 3


def measure_spread(nodes: int, seed: int) -> SpreadFigures:
    """Run one trial.

    :param nodes: Number of nodes.
    :param seed: Seed of everything random.
    :returns: Its figures.
    """
    return SpreadTrial(nodes=nodes, seed=seed).measure()


def list_slow_growth(figures: list[SpreadFigures]) -> list[str]:
    """List the sizes at which store calls grew as fast as the fleet.

    :param figures: Trials, by size.
    :returns: Names of the bounds missed.
    """
    missed = []
    for smaller, larger in zip(figures, figures[1:], strict=False):
        growth = larger.nodes / smaller.nodes
        calls = larger.store_calls_per_s / smaller.store_calls_per_s
        watches = larger.waiting_watches / smaller.waiting_watches
        if max(calls, watches) >= growth:
            missed.append(f"store calls at {larger.nodes} nodes")
    return missed


def print_spread(figures: list[SpreadFigures]) -> None:
    """Print a column for each size.

    :param figures: The trials.
    """
    rows = [
        [field.name, *(getattr(item, field.name) for item in figures)]
        for field in dataclasses.fields(SpreadFigures)
    ]
    print(tabulate.tabulate(rows, floatfmt=".4g"))


def print_costs(costs: list[CostFigures]) -> None:
    """Print a row for each fleet.

    :param costs: What was measured.
    """
    names = [field.name for field in dataclasses.fields(CostFigures)]
    rows = [dataclasses.astuple(item) for item in costs]
    print(tabulate.tabulate(rows, headers=names, floatfmt=".4g"))


def parse_arguments() -> argparse.Namespace:
    """Read the command line.

    :returns: The arguments.
    """
    parser = argparse.ArgumentParser(
        prog="python -m bluebellbay_bench.spread", description=__doc__
    )
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--nodes", type=int, action="append")
    parser.add_argument("--json", type=pathlib.Path, metavar="FILE")
    return parser.parse_args()


def main() -> int:
    """Run the trials.

    :returns: The exit code; 1 if a bound was missed.
    """
    arguments = parse_arguments()
    sizes = arguments.nodes or list(SIZES)
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        trials = [
            pool.submit(measure_spread, size, arguments.seed)
            for size in sorted(sizes, reverse=True)
        ]
        shapes = [pool.submit(measure_cost, *shape) for shape in COST_SIZES]
        figures = [trial.result() for trial in reversed(trials)]
        costs = [shape.result() for shape in shapes]
    print_spread(figures)
    print_costs(costs)
    document = {
        "seed": arguments.seed,
        "spread": [dataclasses.asdict(item) for item in figures],
        "cost": [dataclasses.asdict(item) for item in costs],
    }
    text = json.dumps(document, indent=1)
    if arguments.json:
        arguments.json.write_text(text + "\n", encoding="utf-8")
    else:
        print(text)
    missed = list_slow_growth(figures)
    for item in figures:
        for name in list_missed_bounds(item):
            missed.append(f"{name} at {item.nodes} nodes")
    for name in missed:
        print(f"missed {name}")
    print(f"{len(missed)} bounds missed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
