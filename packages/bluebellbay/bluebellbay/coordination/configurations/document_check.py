"""Checks a file with the product's own configuration document."""

from collections.abc import Iterator
import dataclasses

from bluebellbay.coordination.configurations.check_report import CheckReport
from bluebellbay.coordination.configurations.check_report import parse_reason
from bluebellbay.coordination.configurations.check_report import (
    ReportedDifference,
)
from bluebellbay.coordination.configurations.check_report import (
    ReportedFinding,
)
from bluebellbay.coordination.configurations.check_report import Severity
from bluebellbay.coordination.configurations.check_report import UNREADABLE
from bluebellbay.coordination.configurations.document import parse_document
from bluebellbay.coordination.configurations.route_difference import (
    DifferenceKind,
)
from bluebellbay.coordination.configurations.route_finding import FindingKind
from bluebellbay.coordination.configurations.source_lines import SourceLines
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.profile import Profile


def check_document(source: bytes, in_force: bytes | None) -> CheckReport:
    """Check a document of profiles and marks.

    :param source: Content of the file.
    :param in_force: Content of the file with the document in force; ``None``
        if it is not known.
    :returns: Findings and, if both files can be decoded, differences.
    """
    lines = SourceLines(source)
    parsed = parse_document(source)
    if parsed.is_error():
        reason = parse_reason(parsed.error.reason)
        line = (
            lines.find_line(reason.path)
            if reason.byte is None
            else lines.find_line_of_byte(reason.byte)
        )
        finding = ReportedFinding(
            severity=Severity.ERROR,
            kind=UNREADABLE,
            path=reason.path,
            line=line,
            text=reason.text,
        )
        return CheckReport(findings=(finding,))
    if in_force is None:
        return CheckReport()
    old = parse_document(in_force)
    if old.is_error():
        finding = ReportedFinding(
            severity=Severity.ERROR,
            kind=UNREADABLE,
            path="",
            line=None,
            text=f"the document in force can't be decoded: {old.error.reason}",
        )
        return CheckReport(findings=(finding,))
    differences = tuple(
        dataclasses.replace(difference, line=lines.find_line(difference.path))
        for difference in (
            *_compare_profiles(old.ok, parsed.ok),
            *_compare_marks(old.ok, parsed.ok),
        )
    )
    if not differences or parsed.ok.revision > old.ok.revision:
        return CheckReport(differences=differences)
    stale = ReportedFinding(
        severity=Severity.WARNING,
        kind=FindingKind.VERSION_TOO_LOW.value,
        path="revision",
        line=lines.find_line("revision"),
        text=f"entry VMs ignore revision {parsed.ok.revision}: it isn't above "
        f"{old.ok.revision}, which is in force",
    )
    return CheckReport(findings=(stale,), differences=differences)


def _compare_profiles(
    in_force: ConfigurationDocument, new: ConfigurationDocument
) -> Iterator[ReportedDifference]:
    old_profiles = {item.name: item.profile for item in in_force.profiles}
    for index, record in enumerate(new.profiles):
        old = old_profiles.pop(record.name, None)
        if old == record.profile:
            continue
        yield _build_difference(
            _classify(old, record.profile),
            f"profiles[{index}]",
            f"profile {record.name}: {_describe_profile(old)}, "
            f"new {_describe_profile(record.profile)}",
        )
    for name, profile in old_profiles.items():
        if profile is not None:
            yield _build_difference(
                DifferenceKind.REMOVED,
                "profiles",
                f"profile {name}: {_describe_profile(profile)}, new none",
            )


def _compare_marks(
    in_force: ConfigurationDocument, new: ConfigurationDocument
) -> Iterator[ReportedDifference]:
    old_marks = {item.vm: item.leaving for item in in_force.marks}
    for index, mark in enumerate(new.marks):
        if old_marks.pop(mark.vm, False) != mark.leaving:
            state = "leaving" if mark.leaving else "no longer leaving"
            yield _build_difference(
                DifferenceKind.CHANGED,
                f"marks[{index}]",
                f"VM {mark.vm}: {state}",
            )
    for vm, was_leaving in old_marks.items():
        if was_leaving:
            yield _build_difference(
                DifferenceKind.REMOVED, "marks", f"VM {vm}: no longer leaving"
            )


def _build_difference(
    kind: DifferenceKind, path: str, text: str
) -> ReportedDifference:
    return ReportedDifference(kind=kind.value, path=path, line=None, text=text)


def _classify(old: Profile | None, new: Profile | None) -> DifferenceKind:
    if old is None:
        return DifferenceKind.ADDED
    return DifferenceKind.REMOVED if new is None else DifferenceKind.CHANGED


def _describe_profile(profile: Profile | None) -> str:
    if profile is None:
        return "none"
    return (
        f"coverage floor {profile.coverage_floor:g}, "
        f"delay {profile.delay_ms} ms, extra load {profile.extra_load:g}, "
        f"rank {profile.rank}"
    )
