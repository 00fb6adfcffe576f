"""Events and commands about the process itself, common to all cores."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportHealth:
    """Set what this node's health endpoint reports to the load balancer.

    :param healthy: False before a configuration is in force and once this
        VM is leaving.
    """

    healthy: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopProcess:
    """Exit the process; no requests are in flight any more."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogField:
    """A named value in the log line of a decision."""

    name: str
    value: Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogDecision:
    """Write one decision to the log.

    :param part: Part of the core that decided; the prefix of the line.
    :param sentence: The log message.
    :param request_id: Id of the request that was decided on, if any.
    :param fields: Values that the decision is based on.
    """

    part: str
    sentence: str
    request_id: str = ""
    fields: tuple[LogField, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShutdownRequested:
    """A graceful shutdown of the process was requested."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimerTick:
    """Runs the timers that are due; nothing else has happened."""
