"""Result of the check of a configuration file."""

import dataclasses
import enum
import re

UNREADABLE = "unreadable"


class Severity(enum.Enum):
    """How bad a finding is."""

    # Nodes would leave the previous configuration in force.
    ERROR = "error"
    # Nodes would accept the configuration, but a part of it has no effect.
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportedFinding:
    """A finding, with its place in the file.

    :param severity: How bad it is.
    :param kind: What was found, for programs.
    :param path: Path of the entry, such as ``routes[3].service``; empty for
        the whole file.
    :param line: Line of the entry, from 1; ``None`` if it is unknown.
    :param text: What was found; never holds an API key.
    """

    severity: Severity
    kind: str
    path: str
    line: int | None
    text: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportedDifference:
    """A difference from the configuration in force.

    :param kind: Whether the entry was added, removed or changed.
    :param path: Path of the entry in the checked file; empty if it has none.
    :param line: Line of the entry, from 1; ``None`` if it has none.
    :param text: What differs; never holds an API key.
    """

    kind: str
    path: str
    line: int | None
    text: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CheckReport:
    """Result of a check.

    :param findings: Errors and warnings, in the order of the file.
    :param differences: Differences from the configuration in force; ``None``
        if they are unknown.
    """

    findings: tuple[ReportedFinding, ...] = ()
    differences: tuple[ReportedDifference, ...] | None = None

    @property
    def severity(self) -> Severity | None:
        """Severity of the worst finding; ``None`` if there is none."""
        severities = {finding.severity for finding in self.findings}
        for severity in (Severity.ERROR, Severity.WARNING):
            if severity in severities:
                return severity
        return None


_PATH_OF_REASON = re.compile(r"(?s)(.*) - at `\$\.?(.*)`")
_BYTE_OF_REASON = re.compile(r"\(byte (\d+)\)")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DecoderReason:
    """Reason of a decoder, apart from the place that it names.

    :param text: The reason.
    :param path: Path of the entry; empty if the reason names none.
    :param byte: Number of the byte, from 0; ``None`` if the reason names none.
    """

    text: str
    path: str = ""
    byte: int | None = None


def parse_reason(reason: str) -> DecoderReason:
    """Take the place out of the reason that ``msgspec`` gives.

    :param reason: Text of its exception.
    """
    if match := _PATH_OF_REASON.fullmatch(reason):
        return DecoderReason(text=match[1], path=match[2])
    if match := _BYTE_OF_REASON.search(reason):
        return DecoderReason(text=reason, byte=int(match[1]))
    return DecoderReason(text=reason)
