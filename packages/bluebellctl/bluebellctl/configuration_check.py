"""The ``configuration check`` command: checks a file before it is stored."""

import argparse
from collections.abc import Callable
import importlib
import pathlib

import msgspec

from bluebellbay.coordination.configurations.check_report import CheckReport
from bluebellbay.coordination.configurations.check_report import (
    ReportedFinding,
)
from bluebellbay.coordination.configurations.check_report import Severity
from bluebellbay.coordination.configurations.check_report import UNREADABLE
from bluebellbay.coordination.configurations.document_check import (
    check_document,
)
from bluebellbay.coordination.configurations.route_check import KnownFleet
from bluebellctl.exit_code import ExitCode
from bluebellctl.report import Report
from bluebellctl.report import Table

ADAPTER_PACKAGE = "bluebellbay_platform"
ADAPTER_MODULE = f"{ADAPTER_PACKAGE}.configuration_check"
HEADINGS = ("line", "path", "kind", "finding")
# A finding of the file itself has its length bounded by the decoder; a path
# or a name has not.
MAX_TEXT_LENGTH = 500

_EXIT_CODES = {
    None: ExitCode.SUCCESS,
    Severity.WARNING: ExitCode.WARNINGS,
    Severity.ERROR: ExitCode.USAGE_ERROR,
}

FileCheck = Callable[[bytes, bytes | None, KnownFleet], CheckReport]


class _Kind(msgspec.Struct):
    """The field that only the product's own document has."""

    revision: msgspec.Raw = msgspec.Raw()


def check_configuration_file(arguments: argparse.Namespace) -> Report:
    """Check a configuration file without a network.

    :param arguments: The parsed command line, with ``file``, ``in_force``,
        ``nodes`` and ``replicas``.
    :returns: The report: ``SUCCESS`` if nothing was found, ``WARNINGS``, or
        ``USAGE_ERROR`` if there are errors or the check is not possible.
    """
    try:
        source = arguments.file.read_bytes()
        in_force = arguments.in_force and arguments.in_force.read_bytes()
    except OSError as error:
        return _report_failure(
            f"can't read {error.filename}: {error.strerror}"
        )
    if _is_own_document(source):
        return _build_report(arguments.file, check_document(source, in_force))
    try:
        check: FileCheck = importlib.import_module(
            ADAPTER_MODULE
        ).check_configuration
    except ModuleNotFoundError as error:
        if error.name not in (ADAPTER_PACKAGE, ADAPTER_MODULE):
            raise
        return _report_failure(
            f"can't check {arguments.file}: it is no document of profiles, "
            f"and the package {ADAPTER_PACKAGE}, which reads the platform's "
            "configurations, is not installed"
        )
    replicas = dict(arguments.replicas or ())
    fleet = KnownFleet(
        nodes=arguments.nodes,
        default_replicas=replicas.pop("", None),
        replicas=replicas,
    )
    return _build_report(arguments.file, check(source, in_force, fleet))


def parse_replicas(text: str) -> tuple[str, int]:
    """Parse a number of replicas, of one service or of all others.

    :param text: ``SERVICE=N`` or ``N``.
    :returns: Name of the service, empty for all others, and the number.
    :raises ValueError: If there is no number above 0.
    """
    service, _, number = text.rpartition("=")
    return service, parse_count(number)


def parse_count(text: str) -> int:
    """Parse a number above 0.

    :param text: The number.
    :raises ValueError: If it is none.
    """
    count = int(text)
    if count < 1:
        raise ValueError(f"{count} is not above 0")
    return count


def _is_own_document(source: bytes) -> bool:
    try:
        kind = msgspec.json.decode(source, type=_Kind)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return False
    return bool(bytes(kind.revision))


def _report_failure(text: str) -> Report:
    finding = ReportedFinding(
        severity=Severity.ERROR,
        kind=UNREADABLE,
        path="",
        line=None,
        text=text,
    )
    return Report(
        code=ExitCode.USAGE_ERROR,
        message=text,
        data=CheckReport(findings=(finding,)),
    )


def _build_report(path: pathlib.Path, result: CheckReport) -> Report:
    rows = [
        (
            finding.line or "",
            _shorten(finding.path),
            finding.severity.value,
            _shorten(finding.text),
        )
        for finding in result.findings
    ]
    rows += [
        (
            difference.line or "",
            _shorten(difference.path),
            "difference",
            _shorten(difference.text),
        )
        for difference in result.differences or ()
    ]
    return Report(
        code=_EXIT_CODES[result.severity],
        message=f"{path}: {_summarize(result)}.",
        table=Table(headings=HEADINGS, rows=tuple(rows)) if rows else None,
        data=result,
    )


def _summarize(result: CheckReport) -> str:
    severities = [finding.severity for finding in result.findings]
    summary = (
        f"{severities.count(Severity.ERROR)} errors, "
        f"{severities.count(Severity.WARNING)} warnings"
    )
    if result.differences is not None:
        summary += f", {len(result.differences)} differences"
    return summary


def _shorten(text: str) -> str:
    if len(text) <= MAX_TEXT_LENGTH:
        return text
    return text[:MAX_TEXT_LENGTH] + "..."
