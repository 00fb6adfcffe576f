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
from bluebellctl.parser import DEFAULT_SETTINGS_PATH
from bluebellctl.parser import SETTINGS_ENVIRONMENT_VARIABLE
from bluebellctl.report import render_report
from bluebellctl.report import Report


def find_settings_path(path_option: pathlib.Path | None) -> pathlib.Path:
    """Find the settings file to use.

    :param path_option: The path given on the command line, if any.
    :returns: That path, the variable's, or the default.
    """
    if path_option is not None:
        return path_option
    environment_path = os.environ.get(SETTINGS_ENVIRONMENT_VARIABLE)
    return (
        pathlib.Path(environment_path)
        if environment_path
        else DEFAULT_SETTINGS_PATH
    )


def print_report(report: Report, *, as_json: bool) -> None:
    """Print a report; what went wrong goes to standard error.

    :param report: The report.
    :param as_json: For programs rather than for people.
    """
    text = render_report(report, as_json=as_json)
    stdout_codes = (ExitCode.SUCCESS, ExitCode.NOT_CONFIRMED)
    has_table = report.table is not None
    to_stdout = as_json or has_table or report.code in stdout_codes
    print(text, file=sys.stdout if to_stdout else sys.stderr)


def run_command(settings: Settings, arguments: argparse.Namespace) -> None:
    """Run a command that talks to the store or to entry VMs, and exit.

    :param settings: The settings.
    :param arguments: The parsed command line.
    """
    reports: list[Report] = []

    async def run() -> None:
        reports.append(await arguments.handler(settings, arguments))

    try:
        react(lambda reactor: Deferred.fromCoroutine(run()))
    except SystemExit as exit_request:
        if not reports:
            raise SystemExit(ExitCode.FAILURE) from exit_request
    print_report(reports[0], as_json=arguments.json)
    sys.exit(reports[0].code)


def main() -> None:
    """Run the command line."""
    arguments = build_parser().parse_args()
    if arguments.handler is None:
        report = check_file(arguments.file)
        print_report(report, as_json=arguments.json)
        sys.exit(report.code)
    path = find_settings_path(arguments.settings)
    load_result = load_settings(path)
    if load_result.is_error():
        for settings_error in load_result.error:
            print(f"{path}: {settings_error}", file=sys.stderr)
        sys.exit(ExitCode.USAGE_ERROR)
    run_command(load_result.ok, arguments)


if __name__ == "__main__":
    main()
