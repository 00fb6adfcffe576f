"""Processes of the stand-ins and of daemons, for tests and the demo."""

from collections.abc import Callable
import ctypes
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import Any

import msgspec
import yaml

from bluebellbay_standins.client import call
from bluebellbay_standins.client import Reply
from bluebellbay_standins.main import HostReport
from bluebellbay_standins.main import HostSpec

POLL_S = 0.02
READY_TIMEOUT_S = 60.0
_SET_PARENT_DEATH_SIGNAL = 1
_LIBC = ctypes.CDLL(None)
END_TIMEOUT_S = 30.0


def name_host(number: int) -> str:
    """Name a loopback IP number that no other test run listens on.

    No connection leaves from it either, so that a port freed by a process
    is still free when the process is started again.

    :param number: Number of the process within this run, 1 to 254.
    :returns: The IP number.
    """
    upper, lower = divmod(os.getpid(), 254)
    return f"127.{1 + upper % 254}.{1 + lower}.{number}"


def find_address(host: str) -> str:
    """Find an address that nothing listens on.

    :param host: IP number.
    :returns: ``host:port``.
    """
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def wait_until(
    ready: Callable[[], bool],
    what: str,
    timeout_s: float = READY_TIMEOUT_S,
) -> None:
    """Ask again and again until something is so.

    :param ready: Tells whether it is.
    :param what: What is waited for.
    :param timeout_s: Time in seconds after which to give up.
    :raises TimeoutError: If it never was.
    """
    give_up_at = time.monotonic() + timeout_s
    while not ready():
        if time.monotonic() > give_up_at:
            raise TimeoutError(f"waited {timeout_s:g} s in vain: {what}")
        time.sleep(POLL_S)


def _end_with_parent() -> None:
    _LIBC.prctl(_SET_PARENT_DEATH_SIGNAL, signal.SIGKILL)


class Child:
    """One process that was started here.

    :param name: Name of the process; its log is named after it.
    :param arguments: Arguments for the Python interpreter.
    :param folder: Where its log goes.
    """

    def __init__(
        self, *, name: str, arguments: list[str], folder: pathlib.Path
    ) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        self._arguments = arguments
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code; none while it runs."""
        return self._process.poll() if self._process is not None else None

    def start(self) -> None:
        """Start the process; its output is added to its log."""
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments],
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                preexec_fn=_end_with_parent,  # noqa: PLW1509
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process.

        :param number: The signal.
        """
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """End the process at once, also while it is stopped."""
        self.send_signal(signal.SIGKILL)
        self.wait()

    def freeze(self) -> None:
        """Stop the process until it is thawed."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to end gracefully."""
        self.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float = END_TIMEOUT_S) -> int:
        """Wait for the process to end.

        :param timeout_s: Time in seconds after which to give up.
        :returns: Its exit code.
        :raises subprocess.TimeoutExpired: If it did not end.
        """
        if self._process is None:
            return 0
        return self._process.wait(timeout_s)

    def read_log(self) -> str:
        """Read what the process has printed."""
        if not self.log.exists():
            return ""
        return self.log.read_text(encoding="utf-8", errors="replace")


class HostProcess:
    """A process of stand-ins, which keeps its ports over a restart.

    :param name: Name of the process.
    :param spec: What it hosts.
    :param folder: Where its files go.
    """

    def __init__(
        self, *, name: str, spec: HostSpec, folder: pathlib.Path
    ) -> None:
        self.report = HostReport()
        self._spec = spec
        self._spec_path = folder / f"{name}.yaml"
        self._ready_path = folder / f"{name}.ready"
        self.child = Child(
            name=name,
            folder=folder,
            arguments=[
                "-m",
                "bluebellbay_standins.main",
                "--spec",
                str(self._spec_path),
                "--ready",
                str(self._ready_path),
            ],
        )

    def start(self) -> None:
        """Start the process and wait until it listens."""
        self.begin()
        self.wait_until_ready()

    def begin(self) -> None:
        """Start the process without waiting for it."""
        self._ready_path.unlink(missing_ok=True)
        write_yaml(self._spec_path, self._spec)
        self.child.start()

    def wait_until_ready(self) -> None:
        """Wait until the process listens, and read where."""
        wait_until(self._is_ready, f"{self.child.name} to listen")
        data = self._ready_path.read_bytes()
        self.report = msgspec.json.decode(data, type=HostReport)
        self._spec = keep_addresses(self._spec, self.report)

    def _is_ready(self) -> bool:
        if not self.child.running:
            raise RuntimeError(self.child.read_log())
        return self._ready_path.exists()


class DaemonProcess:
    """A daemon of an entry VM.

    :param settings: Its settings, as YAML would hold them.
    :param folder: Where its files go.
    """

    def __init__(
        self, *, settings: dict[str, Any], folder: pathlib.Path
    ) -> None:
        self.name: str = settings["node"]["name"]
        self.address: str = settings["node"]["listen"]
        self.settings_path = folder / f"{self.name}.yaml"
        self._settings = settings
        self.child = Child(
            name=self.name,
            folder=folder,
            arguments=[
                "-m",
                "bluebellbayd.main",
                "--settings",
                str(self.settings_path),
            ],
        )

    def start(self) -> None:
        """Start the process without waiting for it."""
        write_yaml(self.settings_path, self._settings)
        self.child.start()

    def wait_until_healthy(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until the health endpoint welcomes requests.

        :param timeout_s: Time in seconds after which to give up.
        """
        wait_until(
            lambda: self.probe("/v1/health").status == 200,
            f"{self.name} to be healthy",
            timeout_s,
        )

    def wait_until_up(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until the daemon answers operators, with or without health.

        :param timeout_s: Time in seconds after which to give up.
        """
        wait_until(
            lambda: self.probe("/v1/status").status == 200,
            f"{self.name} to be up",
            timeout_s,
        )

    def probe(self, path: str) -> Reply:
        """Read an endpoint; status 0 if it can't be reached.

        :param path: Path of the URL.
        :returns: The answer.
        """
        if not self.child.running:
            raise RuntimeError(self.child.read_log())
        try:
            return call(self.address, "GET", path, timeout_s=5.0)
        except OSError:
            return Reply(status=0, body=None)


def write_yaml(path: pathlib.Path, message: Any) -> None:
    """Write a message as YAML.

    :param path: Path of the file.
    :param message: A data class instance or a mapping.
    """
    data = json.loads(msgspec.json.encode(message))
    path.write_text(yaml.safe_dump(data, sort_keys=False), encoding="utf-8")


def keep_addresses(spec: HostSpec, report: HostReport) -> HostSpec:
    """Fix the ports that a process got, for its next start.

    :param spec: What it hosts.
    :param report: The addresses it got.
    :returns: The same with these addresses.
    """
    store = spec.store and dataclasses.replace(
        spec.store, address=report.store
    )
    vm_list = spec.vm_list and dataclasses.replace(
        spec.vm_list, address=report.vm_list
    )
    return dataclasses.replace(
        spec,
        store=store,
        vm_list=vm_list,
        control=report.control or spec.control,
        link_control=report.link_control or spec.link_control,
        backends=tuple(
            dataclasses.replace(item, address=report.backends[item.name])
            for item in spec.backends
        ),
        links=tuple(
            dataclasses.replace(item, address=report.links[item.name])
            for item in spec.links
        ),
    )
