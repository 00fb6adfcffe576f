"""The ``status`` command: shows the state of the entry VMs."""

import argparse

from bluebellbay.protocol.status import NodeStatus
from bluebellbay.settings import Settings
from bluebellctl.exit_code import ExitCode
from bluebellctl.fleet import describe_missing
from bluebellctl.fleet import EntryVmStatus
from bluebellctl.fleet import fetch_statuses
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


def _format_row(entry_vm: EntryVmStatus) -> tuple[object, ...]:
    status = entry_vm.status
    if status is None:
        return (
            entry_vm.name,
            entry_vm.failure_domain,
            "not reached",
            *("" for _ in HEADINGS[3:]),
        )
    alive = sum(peer.status == "alive" for peer in status.peers)
    return (
        entry_vm.name,
        entry_vm.failure_domain,
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
    """Show each entry VM with its state and configuration revision.

    :param settings: Settings with the addresses of the entry VMs.
    :param arguments: The parsed command line; not used.
    :returns: The report; ``UNREACHABLE`` if any entry VM did not respond.
    """
    del arguments
    entry_vms = await fetch_statuses(settings)
    message = describe_missing(entry_vms)
    return Report(
        code=ExitCode.UNREACHABLE if message else ExitCode.SUCCESS,
        message=message,
        table=Table(
            headings=HEADINGS,
            rows=tuple(_format_row(entry_vm) for entry_vm in entry_vms),
        ),
        data=entry_vms,
    )
