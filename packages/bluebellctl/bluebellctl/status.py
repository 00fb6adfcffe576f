"""The status command."""

import argparse

from bluebellbay.protocol.status import NodeStatus
from bluebellbay.settings import Settings
from bluebellctl.exit_code import ExitCode
from bluebellctl.fleet import ask_statuses
from bluebellctl.fleet import NodeAnswer
from bluebellctl.report import Report
from bluebellctl.report import Table

HEADINGS = (
    "entry vm",
    "failure domain",
    "state",
    "revision",
    "confirmed",
    "peers alive",
    "servers",
    "leaving",
)


def _list_row(answer: NodeAnswer) -> tuple[object, ...]:
    status = answer.status
    if status is None:
        return (
            answer.name,
            answer.failure_domain,
            "not reached",
            *("" for _ in HEADINGS[3:]),
        )
    alive = sum(peer.status == "alive" for peer in status.peers)
    return (
        answer.name,
        answer.failure_domain,
        _describe_state(status),
        status.config_revision,
        "yes" if status.config_confirmed else "no",
        f"{alive} of {len(status.peers)}",
        len(status.servers),
        sum(server.leaving for server in status.servers),
    )


def _describe_state(status: NodeStatus) -> str:
    if status.healthy:
        return "serving"
    return "leaving" if status.config_revision else "no configuration"


async def show_status(
    settings: Settings, arguments: argparse.Namespace
) -> Report:
    """Show every entry VM and the revision in force there.

    :param settings: Names the entry VMs.
    :param arguments: The parsed command line.
    :returns: The report; unreachable if any entry VM is.
    """
    del arguments
    answers = await ask_statuses(settings)
    missing = [answer.name for answer in answers if answer.status is None]
    message = f"Not reached: {', '.join(missing)}." if missing else ""
    return Report(
        code=ExitCode.UNREACHABLE if missing else ExitCode.DONE,
        message=message,
        table=Table(
            headings=HEADINGS,
            rows=tuple(_list_row(answer) for answer in answers),
        ),
        data=answers,
    )
