"""The arguments of the command line."""

import argparse
from collections.abc import Callable
from collections.abc import Coroutine
import pathlib
from typing import Any
from typing import TypeAlias

from bluebellbay.settings import Settings
from bluebellctl.profile import delete_profile
from bluebellctl.profile import list_profiles
from bluebellctl.profile import set_profile
from bluebellctl.profile import show_profile
from bluebellctl.report import Report
from bluebellctl.status import show_status
from bluebellctl.vm import list_vms
from bluebellctl.vm import mark_leaving
from bluebellctl.vm import mark_returned

Commands: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"
Run = Callable[[Settings, argparse.Namespace], Coroutine[Any, Any, Report]]

SETTINGS_VARIABLE = "BLUEBELLBAY_SETTINGS"
DEFAULT_SETTINGS = pathlib.Path("/etc/bluebellbay/settings.yaml")
DEFAULT_WAIT_S = 15.0

EXAMPLES = """examples:
  bluebellctl check settings.yaml
  bluebellctl --settings settings.yaml profile set batch-lookup \\
      --coverage-floor 1 --delay-ms 250 --extra-load 0.05 --rank 0
  bluebellctl --settings settings.yaml profile list --json
  bluebellctl --settings settings.yaml vm leave press-desk-01-a
  bluebellctl --settings settings.yaml status

exit codes:
  0 done   1 fault   2 usage or settings   3 store or VM not reached
  4 another operator's change came first   5 unknown whether it was made
  6 made, but not confirmed in every failure domain
"""


def build_parser() -> argparse.ArgumentParser:
    """Build the parser.

    :returns: The parser; ``run`` of its result is the command.
    """
    parser = argparse.ArgumentParser(
        prog="bluebellctl",
        description="Edits profiles, marks VMs as leaving, shows the fleet.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        help="settings of any entry VM; otherwise the file named by "
        f"{SETTINGS_VARIABLE}, or {DEFAULT_SETTINGS}",
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_profile(commands)
    _add_vm(commands)
    _add_leaf(commands, "status", "show every entry VM", show_status)
    check = commands.add_parser("check", help="check a settings file")
    check.add_argument("file", type=pathlib.Path)
    _add_json(check)
    check.set_defaults(run=None)
    return parser


def _add_profile(commands: Commands) -> None:
    group = commands.add_parser("profile", help="list and edit profiles")
    verbs = group.add_subparsers(required=True, metavar="VERB")
    _add_leaf(verbs, "list", "list the profiles", list_profiles)
    show = _add_leaf(verbs, "show", "show a profile", show_profile)
    show.add_argument("name")
    change = _add_leaf(
        verbs, "set", "create a profile or change fields of it", set_profile
    )
    change.add_argument("name")
    change.add_argument("--coverage-floor", type=float, metavar="0..1")
    change.add_argument("--delay-ms", type=int, metavar="MS")
    change.add_argument("--extra-load", type=float, metavar="0..1")
    change.add_argument("--rank", type=int, metavar="0..9")
    _add_wait(change)
    delete = _add_leaf(verbs, "delete", "delete a profile", delete_profile)
    delete.add_argument("name")
    _add_wait(delete)


def _add_vm(commands: Commands) -> None:
    group = commands.add_parser("vm", help="list VMs and mark them")
    verbs = group.add_subparsers(required=True, metavar="VERB")
    _add_leaf(verbs, "list", "list the backend servers", list_vms)
    leave = _add_leaf(verbs, "leave", "mark a VM as leaving", mark_leaving)
    leave.add_argument("name")
    _add_wait(leave)
    back = _add_leaf(verbs, "return", "take the mark back", mark_returned)
    back.add_argument("name")
    _add_wait(back)


def _add_leaf(
    commands: Commands, name: str, text: str, run: Run
) -> argparse.ArgumentParser:
    leaf = commands.add_parser(name, help=text)
    _add_json(leaf)
    leaf.set_defaults(run=run)
    return leaf


def _add_json(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--json", action="store_true", help="print JSON for programs"
    )


def _add_wait(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--wait",
        type=float,
        default=DEFAULT_WAIT_S,
        metavar="S",
        help="seconds to wait until in force everywhere",
    )
