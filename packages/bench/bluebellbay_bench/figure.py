"""Figures of one run."""

import bisect
import dataclasses
import math

from bluebellbay.protocol.error import Outcome
from bluebellbay_bench.shape import FIRST_RANK
from bluebellbay_bench.shape import SECOND_RANK
from bluebellbay_bench.world import LegRecord
from bluebellbay_bench.world import QueryRecord
from bluebellbay_bench.world import World

WINDOW_S = 10.0
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """What one run came to; latencies are in ms.

    :param queries: Queries that arrived.
    :param p50_ms: Latency of answers at the 50th in 100.
    :param p99_ms: Latency of answers at the 99th in 100.
    :param p999_ms: Latency of answers at the 999th in 1000.
    :param bound_p50_ms: The clairvoyant bound at the 50th in 100.
    :param bound_p99_ms: The clairvoyant bound at the 99th in 100.
    :param bound_p999_ms: The clairvoyant bound at the 999th in 1000.
    :param oracle_p99_ms: The oracle with slots at the 99th in 100.
    :param complete: Share of the admitted queries answered whole.
    :param extra_load: Extra legs by first legs, over the run.
    :param worst_window: The highest extra load of any 10 s.
    :param first_served: Share of the first rank answered whole.
    :param second_served: Share of the second rank answered whole.
    :param not_run: Share of the queries refused as not run.
    :param failed: Share of the queries failed or never answered.
    """

    queries: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    bound_p50_ms: float
    bound_p99_ms: float
    bound_p999_ms: float
    oracle_p99_ms: float
    complete: float
    extra_load: float
    worst_window: float
    first_served: float
    second_served: float
    not_run: float
    failed: float


def find_quantile(values: list[float], quantile: float) -> float:
    """Find a quantile by rank.

    :param values: The values.
    :param quantile: Between 0 and 1.
    :returns: The value of that rank; infinite if there is none.
    """
    if not values:
        return math.inf
    ordered = sorted(values)
    rank = min(len(ordered) - 1, math.ceil(quantile * len(ordered)) - 1)
    return ordered[rank]


def find_worst_window(legs: list[LegRecord], *, end_s: float) -> float:
    """Find the highest extra load of any window that lies within a run.

    A window worth looking at starts or ends with an extra leg.

    :param legs: The legs of a run.
    :param end_s: Time in seconds from the start at which arrivals end.
    :returns: Extra legs by first legs in that window.
    """
    first = sorted(leg.sent_at for leg in legs if not leg.extra)
    extra = sorted(leg.sent_at for leg in legs if leg.extra)
    worst = 0.0
    starts = [*extra, *(at - WINDOW_S for at in extra)]
    for wanted in starts:
        start = max(0.0, min(wanted, end_s - WINDOW_S))
        many = _count(extra, start)
        few = max(1, _count(first, start))
        worst = max(worst, many / few)
    return worst


def _count(times: list[float], start: float) -> int:
    low = bisect.bisect_left(times, start)
    return bisect.bisect_right(times, start + WINDOW_S) - low


def measure_figures(world: World) -> Figures:
    """Measure a run that has ended.

    :param world: The run.
    :returns: Its figures.
    """
    queries = world.queries
    legs = list(world.legs.values())
    admitted = [
        item for item in queries if _outcome(item) is not Outcome.NOT_RUN
    ]
    answered = [item for item in admitted if item.answer is not None]
    latencies = [
        (item.answered_at - item.arrived_at) * MS_PER_S for item in answered
    ]
    bounds = [item.bound_s * MS_PER_S for item in queries]
    extra = sum(leg.extra for leg in legs)
    return Figures(
        queries=len(queries),
        p50_ms=find_quantile(latencies, 0.5),
        p99_ms=find_quantile(latencies, 0.99),
        p999_ms=find_quantile(latencies, 0.999),
        bound_p50_ms=find_quantile(bounds, 0.5),
        bound_p99_ms=find_quantile(bounds, 0.99),
        bound_p999_ms=find_quantile(bounds, 0.999),
        oracle_p99_ms=find_quantile(
            [item.oracle_s * MS_PER_S for item in queries], 0.99
        ),
        complete=_share(admitted, admitted),
        extra_load=extra / max(1, len(legs) - extra),
        worst_window=find_worst_window(legs, end_s=world.shape.seconds),
        first_served=_share_rank(queries, FIRST_RANK),
        second_served=_share_rank(queries, SECOND_RANK),
        not_run=1 - len(admitted) / max(1, len(queries)),
        failed=1
        - sum(
            _outcome(item)
            in (Outcome.ANSWERED, Outcome.PARTIAL, Outcome.NOT_RUN)
            for item in queries
        )
        / max(1, len(queries)),
    )


def _outcome(record: QueryRecord) -> Outcome | None:
    return record.answer.outcome if record.answer else None


def _share(part: list[QueryRecord], whole: list[QueryRecord]) -> float:
    good = sum(_outcome(item) is Outcome.ANSWERED for item in part)
    return good / max(1, len(whole))


def _share_rank(queries: list[QueryRecord], profile: str) -> float:
    of_rank = [item for item in queries if item.profile == profile]
    return _share(of_rank, of_rank)
