"""The VM commands."""

import argparse

from bluebellbay.coordination.change import VmLeave
from bluebellbay.coordination.change import VmReturn
from bluebellbay.protocol.configuration import LeavingMark
from bluebellbay.settings import Settings
from bluebellctl.change import make_change
from bluebellctl.change import read_stored
from bluebellctl.exit_code import ExitCode
from bluebellctl.fleet import ask_statuses
from bluebellctl.report import Report
from bluebellctl.report import Table
from bluebellctl.store import OperatorStore


async def list_vms(
    settings: Settings, arguments: argparse.Namespace
) -> Report:
    """List the backend servers, as the entry VMs see them, and the marks.

    :param settings: Where the store and the entry VMs are.
    :param arguments: The parsed command line.
    :returns: The report.
    """
    del arguments
    stored = await read_stored(OperatorStore(settings=settings.platform))
    document = stored.ok.document if stored.is_ok() else None
    marks = {mark.vm: mark for mark in (document.marks if document else ())}
    answers = await ask_statuses(settings)
    statuses = [answer.status for answer in answers if answer.status]
    if not statuses:
        return Report(
            code=ExitCode.UNREACHABLE,
            message="No entry VM can be reached.",
        )
    rows = []
    servers = {
        server.name: server for item in statuses for server in item.servers
    }
    for name in sorted(servers):
        server = servers[name]
        seen = [
            item
            for status in statuses
            for item in status.servers
            if item.name == name
        ]
        leaving = sum(item.leaving for item in seen)
        rows.append(
            (
                name,
                server.service,
                server.failure_domain,
                _describe_mark(marks.get(name)),
                f"{leaving} of {len(statuses)}",
                sum(item.outstanding for item in seen),
            )
        )
    return Report(
        code=ExitCode.DONE,
        message="" if stored.is_ok() else stored.error.message,
        table=Table(
            headings=(
                "vm",
                "service",
                "failure domain",
                "mark",
                "leaving at",
                "outstanding",
            ),
            rows=tuple(rows),
        ),
        data=[servers[name] for name in sorted(servers)],
    )


def _describe_mark(mark: LeavingMark | None) -> str:
    if mark is None:
        return ""
    return "leaving" if mark.leaving else "returned"


async def mark_leaving(
    settings: Settings, arguments: argparse.Namespace
) -> Report:
    """Mark a VM as leaving.

    :param settings: Where the store and the entry VMs are.
    :param arguments: The parsed command line, with ``name``.
    :returns: The report.
    """
    change = VmLeave(vm=arguments.name)
    return await make_change(
        settings, lambda base: change, wait_s=arguments.wait
    )


async def mark_returned(
    settings: Settings, arguments: argparse.Namespace
) -> Report:
    """Take the mark of a VM back.

    :param settings: Where the store and the entry VMs are.
    :param arguments: The parsed command line, with ``name``.
    :returns: The report.
    """
    change = VmReturn(vm=arguments.name)
    return await make_change(
        settings, lambda base: change, wait_s=arguments.wait
    )
