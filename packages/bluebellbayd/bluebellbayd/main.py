"""Command line of the query daemon."""

import argparse
from collections.abc import Sequence
import faulthandler
import pathlib
import sys
import time
from typing import Any

from twisted.internet import reactor as default_reactor

from bluebellbay.settings import load_settings
from bluebellbay.settings import Settings
from bluebellbayd.daemon import Daemon
from bluebellbayd.log import configure_log

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line.

    :returns: A parser whose options are ``settings`` and
        ``check_settings``.
    """
    parser = argparse.ArgumentParser(
        prog="bluebellbayd",
        description="Serves queries on one entry VM.",
        epilog="Exit codes: 0 normal exit, 2 invalid settings.",
    )
    parser.add_argument(
        "--settings",
        required=True,
        type=pathlib.Path,
        metavar="FILE",
        help="path of the settings file in YAML",
    )
    parser.add_argument(
        "--check-settings",
        action="store_true",
        help="check the settings, print each error and exit",
    )
    return parser


def run_daemon(settings: Settings) -> None:
    """Run the daemon until it has shut down.

    :param settings: Checked settings of the node.
    """
    # Without it a crash in a native library leaves no traceback.
    faulthandler.enable()
    reactor: Any = default_reactor
    # Timers must not depend on the wall clock, which may be set forward or
    # back.
    reactor.seconds = time.monotonic
    configure_log(form=settings.log.form, node=settings.node.name)
    daemon = Daemon(settings=settings, reactor=reactor)

    def start() -> None:
        daemon.install_signals()
        daemon.stopped.addCallback(lambda _: reactor.stop())
        daemon.start()

    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)


def main(arguments: Sequence[str] | None = None) -> int:
    """Check the settings and, unless only this is asked, run the daemon.

    Each error in the settings is printed on a line of standard error.

    :param arguments: Command-line arguments; those of the process by
        default.
    :returns: Exit code: 0 after a normal exit, 2 for invalid settings.
    """
    options = build_parser().parse_args(arguments)
    loaded = load_settings(options.settings)
    if loaded.is_error():
        for fault in loaded.error:
            print(f"{options.settings}: {fault}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if options.check_settings:
        print(f"{options.settings}: settings are valid")
        return EXIT_OK
    run_daemon(loaded.ok)
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
