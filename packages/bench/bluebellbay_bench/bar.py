"""The bars that the users' targets set."""

import dataclasses

from bluebellbay_bench.figure import Figures
from bluebellbay_bench.situation import SITUATIONS

BOUND_RATIO = 1.3
COMPLETE_SHARE = 0.999
FIRST_RANK_SHARE = 0.99
WIDE_P99_MS = 260.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bar:
    """One bar and whether a run met it.

    :param name: Name of the bar.
    :param met: Whether it was met.
    :param figure: The figure measured.
    """

    name: str
    met: bool
    figure: float

    def __str__(self) -> str:
        word = "ok" if self.met else "missed"
        return f"bar {self.name} {word} {self.figure:.4g}"


def list_bars(by_situation: dict[str, Figures]) -> list[Bar]:
    """Hold the policy's figures against every bar.

    :param by_situation: Figures of the whole policy, by situation.
    :returns: The bars, in order.
    """
    bars = [_check_extra_load(name, by_situation) for name in by_situation]
    for name in ("straggler", "lost"):
        if name in by_situation:
            bars += _check_fault(name, by_situation[name])
    if "overload" in by_situation:
        bars += _check_overload(by_situation["overload"])
    for name in ("wide", "wide-straggler"):
        if name in by_situation:
            p99_ms = by_situation[name].p99_ms
            bars.append(
                Bar(
                    name=f"{name}-p99-ms",
                    met=p99_ms <= WIDE_P99_MS,
                    figure=p99_ms,
                )
            )
    return bars


def _check_extra_load(name: str, figures: dict[str, Figures]) -> Bar:
    shape = next(cls.shape for cls in SITUATIONS if cls.name == name)
    worst = figures[name].worst_window
    return Bar(
        name=f"{name}-extra-load-10s",
        met=worst <= shape.extra_load,
        figure=worst,
    )


def _check_fault(name: str, figures: Figures) -> list[Bar]:
    ratio = figures.p99_ms / figures.bound_p99_ms
    return [
        Bar(
            name=f"{name}-p99-by-bound",
            met=ratio <= BOUND_RATIO,
            figure=ratio,
        ),
        Bar(
            name=f"{name}-complete",
            met=figures.complete >= COMPLETE_SHARE,
            figure=figures.complete,
        ),
    ]


def _check_overload(figures: Figures) -> list[Bar]:
    return [
        Bar(
            name="overload-first-rank-served",
            met=figures.first_served >= FIRST_RANK_SHARE,
            figure=figures.first_served,
        ),
        Bar(
            name="overload-shed-as-not-run",
            met=figures.failed <= 1 - FIRST_RANK_SHARE,
            figure=1 - figures.failed,
        ),
    ]
