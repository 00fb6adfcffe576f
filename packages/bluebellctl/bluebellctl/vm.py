"""The VM commands."""

import argparse
import dataclasses

from bluebellbay.coordination.configurations.change import VmLeave
from bluebellbay.coordination.configurations.change import VmReturn
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.configuration import LeavingMark
from bluebellbay.protocol.status import NodeStatus
from bluebellbay.protocol.status import ServerSummary
from bluebellbay.settings import Settings
from bluebellctl.change import make_change
from bluebellctl.change import read_stored_configuration
from bluebellctl.exit_code import ExitCode
from bluebellctl.fleet import fetch_statuses
from bluebellctl.report import Report
from bluebellctl.report import Table
from bluebellctl.store import OperatorStore

HEADINGS = (
    "vm",
    "service",
    "failure domain",
    "mark",
    "leaving at",
    "outstanding",
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VmRow:
    """One backend server, over all entry VMs that could be asked.

    :param vm: Name of its VM.
    :param service: Its service.
    :param failure_domain: Its failure domain.
    :param mark: ``leaving`` or ``returned`` by an operator, or empty.
    :param leaving_at: Entry VMs that give it no new work.
    :param asked: Entry VMs that answered.
    :param outstanding: Legs under way there, from all that answered.
    """

    vm: str
    service: str
    failure_domain: str
    mark: str
    leaving_at: int
    asked: int
    outstanding: int


async def list_vms(
    settings: Settings, arguments: argparse.Namespace
) -> Report:
    """List the backend servers, as the entry VMs see them, and the marks.

    :param settings: Where the store and the entry VMs are.
    :param arguments: The parsed command line.
    :returns: The report.
    """
    del arguments
    stored = await read_stored_configuration(
        OperatorStore(settings=settings.platform)
    )
    document = stored.ok.document if stored.is_ok() else None
    entry_vms = await fetch_statuses(settings)
    statuses = [entry_vm.status for entry_vm in entry_vms if entry_vm.status]
    if not statuses:
        return Report(
            code=ExitCode.UNREACHABLE,
            message="No entry VM can be reached.",
        )
    rows = _build_rows(statuses, document)
    return Report(
        code=ExitCode.SUCCESS,
        message="" if stored.is_ok() else stored.error.message,
        table=Table(
            headings=HEADINGS, rows=tuple(_format_row(row) for row in rows)
        ),
        data=rows,
    )


def _build_rows(
    statuses: list[NodeStatus], document: ConfigurationDocument | None
) -> tuple[VmRow, ...]:
    marks = {mark.vm: mark for mark in (document.marks if document else ())}
    summaries_by_vm: dict[str, list[ServerSummary]] = {}
    for status in statuses:
        for server in status.servers:
            summaries_by_vm.setdefault(server.name, []).append(server)
    return tuple(
        VmRow(
            vm=name,
            service=summaries[0].service,
            failure_domain=summaries[0].failure_domain,
            mark=_describe_mark(marks.get(name)),
            leaving_at=sum(summary.leaving for summary in summaries),
            asked=len(statuses),
            outstanding=sum(summary.outstanding for summary in summaries),
        )
        for name, summaries in sorted(summaries_by_vm.items())
    )


def _format_row(row: VmRow) -> tuple[object, ...]:
    return (
        row.vm,
        row.service,
        row.failure_domain,
        row.mark,
        f"{row.leaving_at} of {row.asked}",
        row.outstanding,
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
