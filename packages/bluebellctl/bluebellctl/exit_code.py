"""Exit codes of ``bluebellctl``."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes that scripts can rely on.

    docs/OPERATORS.md describes each code and what to do about it.
    """

    SUCCESS = 0
    FAILURE = 1
    # Of ``configuration check``, whose errors give ``USAGE_ERROR``.
    WARNINGS = 1
    USAGE_ERROR = 2
    UNREACHABLE = 3
    CONFLICT = 4
    OUTCOME_UNKNOWN = 5
    NOT_CONFIRMED = 6
