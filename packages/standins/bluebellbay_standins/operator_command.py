"""Calls of the operators' command line."""

import dataclasses
import json
import pathlib
import subprocess
import sys
from typing import Any

PROGRAM = pathlib.Path(sys.executable).parent / "bluebellctl"
TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class CommandResult:
    """How one command ended.

    :param exit_code: Its exit code.
    :param output: What it printed.
    :param errors: What it printed as errors.
    """

    exit_code: int
    output: str
    errors: str

    def parse(self) -> Any:
        """Parse the output as JSON."""
        return json.loads(self.output)


def run_command(settings: pathlib.Path, *arguments: str) -> CommandResult:
    """Run ``bluebellctl``.

    :param settings: Path of a daemon's settings.
    :param arguments: The command and its options.
    :returns: How it ended.
    """
    done = subprocess.run(
        [str(PROGRAM), "--settings", str(settings), *arguments],
        capture_output=True,
        text=True,
        check=False,
        timeout=TIMEOUT_S,
    )
    return CommandResult(
        exit_code=done.returncode, output=done.stdout, errors=done.stderr
    )
