"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """What the exit code says, for scripts.

    The meaning of each is in docs/OPERATORS.md.
    """

    SUCCESS = 0
    FAILURE = 1
    USAGE_ERROR = 2
    UNREACHABLE = 3
    CONFLICT = 4
    OUTCOME_UNKNOWN = 5
    NOT_CONFIRMED = 6
