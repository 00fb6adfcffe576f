"""Prints the policy bench: a table, JSON, and a line for each bar."""

import argparse
import concurrent.futures
import dataclasses
import json
import pathlib
import sys
from typing import Any

import tabulate

from bluebellbay_bench.bar import list_bars
from bluebellbay_bench.figure import Figures
from bluebellbay_bench.figure import measure_figures
from bluebellbay_bench.situation import SITUATIONS
from bluebellbay_bench.world import World

SEED = 1
PROCESSES = 4

POLICY = "policy"
VARIANTS: dict[str, dict[str, Any]] = {
    POLICY: {},
    "baseline": {
        "hedging": False,
        "choose_by_load": False,
        "admission_by_rank": False,
        "ejection": False,
    },
    "no-hedging": {"hedging": False},
    "no-choice": {"choose_by_load": False},
    "no-admission": {"admission_by_rank": False},
    "no-ejection": {"ejection": False},
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """One run of the bench.

    :param situation: Name of the situation.
    :param variant: Name of the variant of the policy.
    :param seed: Seed of the draws.
    """

    situation: str
    variant: str
    seed: int


def measure_run(run: Run) -> Figures:
    """Carry out one run.

    :param run: The run.
    :returns: Its figures.
    """
    cls = next(item for item in SITUATIONS if item.name == run.situation)
    situation = cls()
    world = World(
        shape=situation.shape,
        policy=VARIANTS[run.variant],
        configuration=situation.build_configuration(),
        seed=run.seed,
    )
    situation.apply(world)
    world.run()
    return measure_figures(world)


def parse_arguments() -> argparse.Namespace:
    """Read the command line.

    :returns: The arguments.
    """
    names = [cls.name for cls in SITUATIONS]
    parser = argparse.ArgumentParser(prog="python -m bluebellbay_bench")
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--situation", choices=names, action="append")
    parser.add_argument("--variant", choices=VARIANTS, action="append")
    parser.add_argument("--json", type=pathlib.Path, metavar="FILE")
    return parser.parse_args()


def list_runs(arguments: argparse.Namespace) -> list[Run]:
    """List the runs asked for.

    :param arguments: The command line.
    :returns: The runs; wide ones without the single mechanisms.
    """
    wide = (POLICY, "baseline", "no-hedging")
    situations = arguments.situation or [cls.name for cls in SITUATIONS]
    variants = arguments.variant or list(VARIANTS)
    return [
        Run(situation=situation, variant=variant, seed=arguments.seed)
        for situation in situations
        for variant in variants
        if variant in wide or not situation.startswith("wide")
    ]


def print_table(runs: list[Run], figures: list[Figures]) -> None:
    """Print a row for each run.

    :param runs: The runs.
    :param figures: Their figures.
    """
    names = [field.name for field in dataclasses.fields(Figures)]
    rows = [
        [run.situation, run.variant, *dataclasses.astuple(item)]
        for run, item in zip(runs, figures, strict=True)
    ]
    print(
        tabulate.tabulate(
            rows, headers=["situation", "variant", *names], floatfmt=".4g"
        )
    )


def main() -> int:
    """Run the bench.

    :returns: The exit code; 0 also if a bar is missed.
    """
    arguments = parse_arguments()
    runs = list_runs(arguments)
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        figures = list(pool.map(measure_run, runs))
    print_table(runs, figures)
    document = [
        {**dataclasses.asdict(run), **dataclasses.asdict(item)}
        for run, item in zip(runs, figures, strict=True)
    ]
    text = json.dumps(document, indent=1)
    if arguments.json:
        arguments.json.write_text(text + "\n", encoding="utf-8")
    else:
        print(text)
    whole = {
        run.situation: item
        for run, item in zip(runs, figures, strict=True)
        if run.variant == POLICY
    }
    for bar in list_bars(whole):
        print(bar)
    return 0


if __name__ == "__main__":
    sys.exit(main())
