"""Entry point of bluebellctl."""

import argparse
import os
import pathlib
import sys

from twisted.internet.defer import Deferred
from twisted.internet.task import react

from bluebellbay.settings import load_settings
from bluebellbay.settings import Settings
from bluebellctl.check import check_file
from bluebellctl.exit_code import ExitCode
from bluebellctl.parser import build_parser
from bluebellctl.parser import DEFAULT_SETTINGS
from bluebellctl.parser import SETTINGS_VARIABLE
from bluebellctl.report import render_report
from bluebellctl.report import Report


def find_settings_path(given: pathlib.Path | None) -> pathlib.Path:
    """Find the settings file to use.

    :param given: The path given on the command line, if any.
    :returns: That path, the variable's, or the default.
    """
    if given is not None:
        return given
    named = os.environ.get(SETTINGS_VARIABLE)
    return pathlib.Path(named) if named else DEFAULT_SETTINGS


def print_report(report: Report, *, as_json: bool) -> None:
    """Print a report; what went wrong goes to standard error.

    :param report: The report.
    :param as_json: For programs rather than for people.
    """
    text = render_report(report, as_json=as_json)
    good = (ExitCode.DONE, ExitCode.NOT_CONFIRMED)
    has_table = report.table is not None
    to_output = as_json or has_table or report.code in good
    print(text, file=sys.stdout if to_output else sys.stderr)


def run_command(settings: Settings, arguments: argparse.Namespace) -> None:
    """Run a command that talks to the store or to entry VMs, and exit.

    :param settings: The settings.
    :param arguments: The parsed command line.
    """
    reports: list[Report] = []

    async def run() -> None:
        reports.append(await arguments.run(settings, arguments))

    try:
        react(lambda reactor: Deferred.fromCoroutine(run()))
    except SystemExit as stop:
        if not reports:
            raise SystemExit(ExitCode.FAULT) from stop
    print_report(reports[0], as_json=arguments.json)
    sys.exit(reports[0].code)


def main() -> None:
    """Run the command line."""
    arguments = build_parser().parse_args()
    if arguments.run is None:
        report = check_file(arguments.file)
        print_report(report, as_json=arguments.json)
        sys.exit(report.code)
    path = find_settings_path(arguments.settings)
    loaded = load_settings(path)
    if loaded.is_error():
        for fault in loaded.error:
            print(f"{path}: {fault}", file=sys.stderr)
        sys.exit(ExitCode.USAGE)
    run_command(loaded.ok, arguments)


if __name__ == "__main__":
    main()
