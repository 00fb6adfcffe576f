"""What a soak test covers besides its faults."""

import argparse
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class SoakPlan:
    """What a run covers besides its faults.

    :param evacuates: Whether a zone is evacuated.
    :param limits_cold: Whether cold replicas must get no more than their
        limit; they come back cold in any case.
    :param quota_rate_per_s: Rate of the client account with a limit, which
        the traffic of a run exceeds by default.
    """

    evacuates: bool = True
    limits_cold: bool = True
    quota_rate_per_s: float = 4.0


def add_plan_options(parser):
    """Add the options of a plan to a command line."""
    parser.add_argument(
        "--evacuate",
        action=argparse.BooleanOptionalAction,
        default=SoakPlan.evacuates,
        help="evacuate a zone",
    )
    parser.add_argument(
        "--limit-cold",
        action=argparse.BooleanOptionalAction,
        default=SoakPlan.limits_cold,
        help="check the limit of cold replicas",
    )
    parser.add_argument(
        "--quota-rate",
        type=float,
        default=SoakPlan.quota_rate_per_s,
        help="requests per second of the account with a limit",
    )


def read_plan(options):
    """Build the plan from the options of the command line."""
    return SoakPlan(
        evacuates=options.evacuate,
        limits_cold=options.limit_cold,
        quota_rate_per_s=options.quota_rate,
    )
