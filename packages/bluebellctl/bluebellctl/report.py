"""Result of a command, rendered as text or as JSON."""

import dataclasses
from typing import Any

import msgspec
import tabulate

from bluebellctl.exit_code import ExitCode


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Table:
    """A table for the text output.

    :param headings: Names of the columns.
    :param rows: The rows, each with one value per column.
    """

    headings: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """The result of one command.

    :param code: Exit code of the process.
    :param message: One or more sentences; empty if the table is enough.
    :param table: Table for the text output; the JSON output omits it.
    :param data: Content of ``data`` in the JSON output: a data class, a
        sequence of strings or data classes, or ``None``.
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
    """Render a report as text or as JSON.

    :param report: The report to render.
    :param as_json: Whether to render JSON instead of text.
    :returns: The output, without a final newline.
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
