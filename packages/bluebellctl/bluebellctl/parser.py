"""Argument parser of ``bluebellctl``."""

import argparse
from collections.abc import Callable
from collections.abc import Coroutine
import pathlib
from typing import Any
from typing import TypeAlias

from bluebellbay.settings import Settings
from bluebellctl.check import check_file
from bluebellctl.configuration_check import check_configuration_file
from bluebellctl.configuration_check import parse_count
from bluebellctl.configuration_check import parse_replicas
from bluebellctl.profile import delete_profile
from bluebellctl.profile import list_profiles
from bluebellctl.profile import set_profile
from bluebellctl.profile import show_profile
from bluebellctl.report import Report
from bluebellctl.status import show_status
from bluebellctl.vm import list_vms
from bluebellctl.vm import mark_leaving
from bluebellctl.vm import mark_returned

SubParsers: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"
CommandHandler = Callable[
    [Settings, argparse.Namespace], Coroutine[Any, Any, Report]
]

SETTINGS_ENVIRONMENT_VARIABLE = "BLUEBELLBAY_SETTINGS"
DEFAULT_SETTINGS_PATH = pathlib.Path("/etc/bluebellbay/settings.yaml")
DEFAULT_CONFIRMATION_TIMEOUT_S = 15.0

EPILOG = """examples:
  bluebellctl check settings.yaml
  bluebellctl --settings settings.yaml profile set batch-lookup \\
      --coverage-floor 1 --delay-ms 250 --extra-load 0.05 --rank 0
  bluebellctl --settings settings.yaml profile list --json
  bluebellctl --settings settings.yaml vm leave press-desk-01-a
  bluebellctl --settings settings.yaml status
  bluebellctl configuration check new.json --in-force old.json --nodes 35

exit codes:
  0 success
  1 failure, for example an unknown profile or a value out of range
  2 invalid command line or settings
  3 the store or an entry VM can't be reached; nothing was changed
  4 not changed; another operator's change was stored first
  5 unknown whether the change was made
  6 changed, but not confirmed in every failure domain

exit codes of 'configuration check':
  0 nothing found
  1 warnings
  2 errors, or the file can't be checked
"""


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line.

    :returns: The parser. ``handler`` of its result is the coroutine function
        of the command, or ``None`` for commands that need no network, whose
        function is ``check``.
    """
    parser = argparse.ArgumentParser(
        prog="bluebellctl",
        description="Edits profiles, marks VMs as leaving and shows the "
        "status of the entry VMs.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        help="settings file of any entry VM (default: the file named by "
        f"{SETTINGS_ENVIRONMENT_VARIABLE}, or {DEFAULT_SETTINGS_PATH})",
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_profile_commands(commands)
    _add_vm_commands(commands)
    _add_command(commands, "status", "show the entry VMs", show_status)
    check = commands.add_parser("check", help="check a settings file")
    check.add_argument("file", type=pathlib.Path)
    _add_json_option(check)
    check.set_defaults(
        handler=None, check=lambda arguments: check_file(arguments.file)
    )
    _add_configuration_commands(commands)
    return parser


def _add_configuration_commands(commands: SubParsers) -> None:
    group = commands.add_parser("configuration", help="check configurations")
    subcommands = group.add_subparsers(required=True, metavar="VERB")
    check = subcommands.add_parser(
        "check", help="check a configuration file before it is stored"
    )
    check.add_argument("file", type=pathlib.Path)
    check.add_argument(
        "--in-force",
        type=pathlib.Path,
        metavar="FILE",
        help="file with the configuration in force, to print what differs",
    )
    check.add_argument(
        "--nodes",
        type=parse_count,
        metavar="N",
        help="number of nodes, to check the limits of cold replicas",
    )
    check.add_argument(
        "--replicas",
        type=parse_replicas,
        action="append",
        metavar="[SERVICE=]N",
        help="number of replicas of a service, or of each other service",
    )
    _add_json_option(check)
    check.set_defaults(handler=None, check=check_configuration_file)


def _add_profile_commands(commands: SubParsers) -> None:
    group = commands.add_parser("profile", help="list and edit profiles")
    subcommands = group.add_subparsers(required=True, metavar="VERB")
    _add_command(subcommands, "list", "list the profiles", list_profiles)
    show = _add_command(subcommands, "show", "show a profile", show_profile)
    show.add_argument("name")
    set_command = _add_command(
        subcommands,
        "set",
        "create a profile or change its fields",
        set_profile,
    )
    set_command.add_argument("name")
    set_command.add_argument("--coverage-floor", type=float, metavar="0..1")
    set_command.add_argument("--delay-ms", type=int, metavar="MS")
    set_command.add_argument("--extra-load", type=float, metavar="0..1")
    set_command.add_argument("--rank", type=int, metavar="0..9")
    _add_wait_option(set_command)
    delete_command = _add_command(
        subcommands, "delete", "delete a profile", delete_profile
    )
    delete_command.add_argument("name")
    _add_wait_option(delete_command)


def _add_vm_commands(commands: SubParsers) -> None:
    group = commands.add_parser("vm", help="list VMs and mark them as leaving")
    subcommands = group.add_subparsers(required=True, metavar="VERB")
    _add_command(subcommands, "list", "list the backend servers", list_vms)
    leave_command = _add_command(
        subcommands, "leave", "mark a VM as leaving", mark_leaving
    )
    leave_command.add_argument("name")
    _add_wait_option(leave_command)
    return_command = _add_command(
        subcommands, "return", "cancel the mark of a VM", mark_returned
    )
    return_command.add_argument("name")
    _add_wait_option(return_command)


def _add_command(
    commands: SubParsers, name: str, help_text: str, handler: CommandHandler
) -> argparse.ArgumentParser:
    command = commands.add_parser(name, help=help_text)
    _add_json_option(command)
    command.set_defaults(handler=handler)
    return command


def _add_json_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--json", action="store_true", help="print JSON instead of text"
    )


def _add_wait_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--wait",
        type=float,
        default=DEFAULT_CONFIRMATION_TIMEOUT_S,
        metavar="S",
        help="seconds to wait for every entry VM to confirm the change",
    )
