"""The ``vm`` commands: list backend servers and mark VMs as leaving."""

import argparse
import dataclasses

from bluebellbay.coordination.configurations.change import MarkVmLeaving
from bluebellbay.coordination.configurations.change import MarkVmReturned
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.configuration import LeavingMark
from bluebellbay.protocol.status import NodeStatus
from bluebellbay.protocol.status import ServerSummary
from bluebellbay.settings import Settings
from bluebellctl.change import make_change
from bluebellctl.change import read_stored_configuration
from bluebellctl.exit_code import ExitCode
from bluebellctl.fleet import describe_missing
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
    """One backend server, summed up over the entry VMs that responded.

    :param vm: Name of its VM.
    :param service: Its service.
    :param failure_domain: Its failure domain.
    :param mark: ``leaving`` or ``returned`` if an operator marked it, else
        empty.
    :param leaving_at: Number of entry VMs that send it no new legs because
        they consider it leaving.
    :param asked: Number of entry VMs that responded.
    :param outstanding: Number of legs in progress at the server, summed over
        the entry VMs that responded.
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
    """List the backend servers known to the entry VMs, with their marks.

    If the store can't be read, the servers are listed without marks and the
    report's message says so.

    :param settings: Settings with the addresses of the store and entry VMs.
    :param arguments: The parsed command line; not used.
    :returns: The report; ``UNREACHABLE`` if the store or any entry VM did not
        respond.
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
            message="None of the entry VMs can be reached.",
        )
    rows = _build_rows(statuses, document)
    store_fault = "" if stored.is_ok() else stored.error.message
    message = " ".join(
        part for part in (store_fault, describe_missing(entry_vms)) if part
    )
    return Report(
        code=ExitCode.UNREACHABLE if message else ExitCode.SUCCESS,
        message=message,
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
    """Mark a VM as leaving, so that it is sent no new work.

    :param settings: Settings with the addresses of the store and entry VMs.
    :param arguments: The parsed command line, with ``name`` and ``wait``.
    :returns: The report of the change, see ``make_change``.
    """
    change = MarkVmLeaving(vm=arguments.name)
    return await make_change(
        settings, lambda base: change, wait_s=arguments.wait
    )


async def mark_returned(
    settings: Settings, arguments: argparse.Namespace
) -> Report:
    """Cancel the leaving mark of a VM.

    :param settings: Settings with the addresses of the store and entry VMs.
    :param arguments: The parsed command line, with ``name`` and ``wait``.
    :returns: The report of the change, see ``make_change``.
    """
    change = MarkVmReturned(vm=arguments.name)
    return await make_change(
        settings, lambda base: change, wait_s=arguments.wait
    )
