"""The command line of the daemon."""

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

    :returns: The parser.
    """
    parser = argparse.ArgumentParser(
        prog="bluebellbayd",
        description="Serves queries on one entry VM.",
        epilog="Exit codes: 0 ended as asked, 2 bad settings.",
    )
    parser.add_argument(
        "--settings",
        required=True,
        type=pathlib.Path,
        metavar="FILE",
        help="settings in YAML",
    )
    parser.add_argument(
        "--check-settings",
        action="store_true",
        help="check the settings, print each fault and end",
    )
    return parser


def run_daemon(settings: Settings) -> None:
    """Run the daemon until it is asked to end.

    :param settings: The settings.
    """
    # A fault in a native library would otherwise end without a line.
    faulthandler.enable()
    reactor: Any = default_reactor
    # The wall clock may be set forward or back; timers must not follow it.
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
    """Run the command line.

    :param arguments: Arguments; the default is those of the process.
    :returns: The exit code.
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
