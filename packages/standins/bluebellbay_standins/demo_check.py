"""Checks and sums up the answers of the demo."""

import collections

from bluebellbay_standins.fleet import FIRST_SNAPSHOT
from bluebellbay_standins.load import pick_quantile
from bluebellbay_standins.load import Sample

MS_PER_S = 1000


class StepFailed(Exception):
    """A step of the demo did not come out right."""


def require(condition: bool, message: str) -> None:
    """Fail the step unless something is so.

    :param condition: Whether it is.
    :param message: What is wrong otherwise.
    :raises StepFailed: If it is not.
    """
    if not condition:
        raise StepFailed(message)


def list_faults(samples: tuple[Sample, ...]) -> list[str]:
    """List what is wrong with answers.

    :param samples: The answers.
    :returns: One phrase for each fault.
    """
    return [
        f"{sample.query.index} at {sample.query.entry}: {fault}"
        for sample in samples
        for fault in sample.find_faults((FIRST_SNAPSHOT,))
    ]


def find_cut_off(samples: tuple[Sample, ...]) -> list[Sample]:
    """Find broken exchanges that began before the last answered one.

    A connection refused after the process ended is not cut off.

    :param samples: The exchanges.
    :returns: Those cut off.
    """
    last = max(
        (item.began_at for item in samples if item.reply is not None),
        default=0.0,
    )
    return [
        item
        for item in samples
        if item.reply is None and item.began_at <= last
    ]


def describe_shutdown(samples: tuple[Sample, ...]) -> str:
    """Sum up the exchanges of a process that ended, in one phrase.

    :param samples: The exchanges, before and after its end.
    :returns: The phrase; calls that found nothing listening stand apart from
        those cut off.
    """
    answered = collections.Counter(
        item.outcome for item in samples if item.reply is not None
    )
    cut = len(find_cut_off(samples))
    after_end = len(samples) - answered.total() - cut
    return (
        f"answers: {dict(answered)}; cut off: {cut}; calls after the end, when"
        f" nothing listened: {after_end}"
    )


def check_samples(samples: tuple[Sample, ...]) -> None:
    """Require that every answer is right and served.

    :param samples: The answers.
    :raises StepFailed: If one is not.
    """
    faults = list_faults(samples)
    require(not faults, "; ".join(faults[:5]))
    outcomes = collections.Counter(item.outcome for item in samples)
    unserved = len(samples) - outcomes["answered"] - outcomes["partial"]
    require(unserved == 0, f"{unserved} queries not served: {dict(outcomes)}")


def describe_samples(samples: tuple[Sample, ...]) -> str:
    """Sum up answers in one phrase.

    :param samples: The answers, all served.
    :returns: The phrase.
    """
    fractions = [
        sample.reply.body["coverage"]["fraction"]
        for sample in samples
        if sample.reply is not None
    ]
    latencies = [sample.latency_s * MS_PER_S for sample in samples]
    complete = sum(fraction == 1.0 for fraction in fractions)
    return (
        f"{len(samples)} answers, {complete} complete, coverage at least"
        f" {min(fractions):.3f}, 50th in 100"
        f" {pick_quantile(latencies, 0.5):.0f} ms, 99th"
        f" {pick_quantile(latencies, 0.99):.0f} ms"
    )
