"""Measures claims against the store's rate, in virtual time.

``python -m bluebellbay_bench.claims`` prints three tables: one write a claim
against several in one, recording the outcome at once against later, and the
cost of claims that stand already. The time of the record is what a caller
would wait if it were written before the answer.
"""

import argparse
from collections.abc import Iterable
import concurrent.futures
import math
from typing import Final

import tabulate

from bluebellbay_bench.claim_setup import ClaimCounts
from bluebellbay_bench.claim_setup import ClaimSetup
from bluebellbay_bench.claim_simulation import ClaimSimulation
from bluebellbay_bench.claim_simulation import RUN_S

KEY_PER_CLAIM: Final = 2**62


def run_setup(setup: ClaimSetup) -> ClaimCounts:
    """Run one setup.

    :param setup: The setup and its load.
    :returns: What it came to.
    """
    return ClaimSimulation(setup=setup).run()


def find_quantile(values: Iterable[float], share: float) -> float:
    """Find a quantile.

    :param values: The values.
    :param share: The quantile, 0 to 1.
    :returns: The value at that share, or infinity if there is none.
    """
    ordered = sorted(values)
    if not ordered:
        return math.inf
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def build_row(setup: ClaimSetup, counts: ClaimCounts) -> list[object]:
    """Build the row of a table for one setup.

    :param setup: The setup.
    :param counts: What it came to.
    :returns: The cells.
    """
    granted = max(1, len(counts.granted))
    distinct = counts.offered - counts.held
    recorded = counts.recorded.values()
    return [
        "key a claim" if setup.buckets == KEY_PER_CLAIM else setup.buckets,
        f"{setup.record_delay_s * 1000:g}",
        setup.nodes,
        f"{setup.rate:g}",
        setup.standing,
        f"{len(counts.granted) / RUN_S:.0f}",
        f"{100 * counts.refused / max(1, distinct):.1f}",
        f"{1000 * find_quantile(counts.granted.values(), 0.5):.1f}",
        f"{1000 * find_quantile(counts.granted.values(), 0.99):.1f}",
        f"{1000 * find_quantile(recorded, 0.5):.1f}",
        f"{1000 * find_quantile(recorded, 0.99):.1f}",
        f"{counts.reads / granted:.2f}",
        f"{counts.writes / granted:.2f}",
        f"{counts.conflicts / granted:.2f}",
        f"{counts.limited / granted:.2f}",
        f"{counts.written_bytes / granted / 1000:.1f}",
        counts.doubled,
    ]


HEADERS: Final = [
    "buckets",
    "record ms",
    "nodes",
    "offered/s",
    "standing",
    "granted/s",
    "refused %",
    "grant p50 ms",
    "p99",
    "record p50 ms",
    "p99",
    "reads",
    "writes",
    "conflicts",
    "limited",
    "kB",
    "doubled",
]


def list_compounding(seed: int) -> list[ClaimSetup]:
    """List the ways to spread claims over keys."""
    return [
        ClaimSetup(
            buckets=buckets,
            nodes=nodes,
            rate=rate,
            seed=seed,
        )
        for nodes in (1, 4)
        for rate in (50.0, 150.0, 300.0, 600.0, 1200.0)
        for buckets in (KEY_PER_CLAIM, 256, 64, 32, 16, 4, 1)
        if buckets in (KEY_PER_CLAIM, 32) or nodes > 1
    ]


def list_recording(seed: int) -> list[ClaimSetup]:
    """List the times at which the outcome is recorded."""
    return [
        ClaimSetup(
            buckets=buckets, record_delay_s=delay_s, rate=rate, seed=seed
        )
        for rate in (50.0, 150.0, 300.0, 600.0)
        for buckets in (KEY_PER_CLAIM, 64, 32, 16)
        for delay_s in (0.0, 0.2, 1.0)
    ]


def list_standing(seed: int) -> list[ClaimSetup]:
    """List the numbers of claims that stand already."""
    return [
        ClaimSetup(
            buckets=buckets,
            record_delay_s=1.0,
            rate=150.0,
            standing=standing,
            seed=seed,
        )
        for standing in (0, 10_000, 100_000)
        for buckets in (64, 32, 16)
    ]


TABLES: Final = {
    "compounding": list_compounding,
    "recording": list_recording,
    "standing": list_standing,
}


def main() -> None:
    """Print the tables asked for, or all of them."""
    parser = argparse.ArgumentParser(prog="python -m bluebellbay_bench.claims")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--table", choices=TABLES, action="append")
    parser.add_argument("--processes", type=int, default=3)
    options = parser.parse_args()
    with concurrent.futures.ProcessPoolExecutor(options.processes) as pool:
        for name in options.table or TABLES:
            setups = TABLES[name](options.seed)
            results = pool.map(run_setup, setups)
            rows = [
                build_row(*pair) for pair in zip(setups, results, strict=True)
            ]
            print(f"{name}, seed {options.seed}; calls are for each grant")
            print(tabulate.tabulate(rows, headers=HEADERS))
            print()


if __name__ == "__main__":
    main()
