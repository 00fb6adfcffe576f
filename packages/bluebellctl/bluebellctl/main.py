"""Entry point of ``bluebellctl``."""

import argparse
import os
import pathlib
import sys

from twisted.internet.defer import Deferred
from twisted.internet.task import react

from bluebellbay.settings import load_settings
from bluebellbay.settings import Settings
from bluebellctl.exit_code import ExitCode
from bluebellctl.parser import build_parser
from bluebellctl.parser import DEFAULT_SETTINGS_PATH
from bluebellctl.parser import SETTINGS_ENVIRONMENT_VARIABLE
from bluebellctl.report import render_report
from bluebellctl.report import Report


def find_settings_path(path_option: pathlib.Path | None) -> pathlib.Path:
    """Select the settings file to use.

    :param path_option: Value of ``--settings``, or ``None`` if not given.
    :returns: ``path_option`` if given, else the path in the environment
        variable ``BLUEBELLBAY_SETTINGS`` if set, else the default path.
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
    """Print a report to standard output or standard error.

    JSON, tables and the messages of ``SUCCESS`` and ``NOT_CONFIRMED`` go to
    standard output; any other message goes to standard error.

    :param report: The report to print.
    :param as_json: Whether to print JSON instead of text.
    """
    text = render_report(report, as_json=as_json)
    stdout_codes = (ExitCode.SUCCESS, ExitCode.NOT_CONFIRMED)
    has_table = report.table is not None
    to_stdout = as_json or has_table or report.code in stdout_codes
    print(text, file=sys.stdout if to_stdout else sys.stderr)


def run_command(settings: Settings, arguments: argparse.Namespace) -> None:
    """Run a command that calls the store or the entry VMs, then exit.

    :param settings: Settings with the addresses of the store and entry VMs.
    :param arguments: The parsed command line, with the command's ``handler``.
    :raises SystemExit: Always, with the exit code of the command's report,
        or ``FAILURE`` if the command ended without a report.
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
    """Parse the command line, run the command and exit with its code.

    :raises SystemExit: Always, with a value of ``ExitCode``.
    """
    arguments = build_parser().parse_args()
    if arguments.handler is None:
        report = arguments.check(arguments)
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
