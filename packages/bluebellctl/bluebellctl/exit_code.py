"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """What the exit code says, for scripts.

    The meaning of each is in docs/OPERATORS.md.
    """

    DONE = 0
    FAULT = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    UNKNOWN = 5
    NOT_CONFIRMED = 6
