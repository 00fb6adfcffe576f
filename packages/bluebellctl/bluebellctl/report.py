"""What a command found, for people and for programs."""

import dataclasses
from typing import Any

import msgspec
import tabulate

from bluebellctl.exit_code import ExitCode


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Table:
    """Rows under headings.

    :param headings: Names of the columns.
    :param rows: The rows, each as long as the headings.
    """

    headings: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """The result of one command.

    :param code: The exit code.
    :param message: One or more sentences; empty if the table says it all.
    :param table: A table for people.
    :param data: The same for programs; a data class or a list of them.
    """

    code: ExitCode
    message: str = ""
    table: Table | None = None
    data: Any = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _JsonReport:
    exit_code: int
    message: str
    data: Any


def render_report(report: Report, *, as_json: bool) -> str:
    """Render a report.

    :param report: The report.
    :param as_json: For programs rather than for people.
    :returns: The text to print.
    """
    if as_json:
        document = _JsonReport(
            exit_code=int(report.code),
            message=report.message,
            data=report.data,
        )
        return msgspec.json.encode(document).decode()
    sections = []
    if report.table is not None:
        sections.append(
            tabulate.tabulate(report.table.rows, headers=report.table.headings)
        )
    if report.message:
        sections.append(report.message)
    return "\n".join(sections)
