"""The platform program as a process, among fakes."""

import http.client
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time

from fake_platform import FakeReplica
from fake_platform import FakeStore
from fake_platform import LOOPBACK
from fake_platform import POLL_INTERVAL_S

HOST = "calls.example"
STEP_TIMEOUT_S = 60
_allocated_ports = set()


def allocate_ports(count):
    # The kernel may assign a port again as soon as its probe is closed.
    probes = []
    while len(probes) < count:
        probe = socket.create_server((LOOPBACK, 0))
        if probe.getsockname()[1] in _allocated_ports:
            probe.close()
            continue
        probes.append(probe)
        _allocated_ports.add(probe.getsockname()[1])
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def wait_for(condition, seconds=STEP_TIMEOUT_S):
    until = time.monotonic() + seconds
    while True:
        result = condition()
        if result or time.monotonic() > until:
            return result
        time.sleep(POLL_INTERVAL_S)


class Program:
    """One process of the platform program, with its own ports and log."""

    def __init__(self, *, name, folder, store_port):
        self.name = name
        self.process = None
        self.ports = allocate_ports(4)
        self.log = pathlib.Path(folder) / f"{name}.log"
        self._settings = pathlib.Path(folder) / f"{name}.toml"
        self._store_port = store_port
        self._is_first_start = True

    def write_settings(
        self,
        *,
        store=True,
        slack=58,
        grace_s=20,
        zone="zone-a",
        zones=(),
        quota_slack=20,
    ):
        callers, health, peers, _ = self.ports
        text = f"""
node-name = "{self.name}"
zone = "{zone}"
ip-address = "{LOOPBACK}"
is-bootstrap = {str(self._is_first_start).lower()}
internal-port-range = [{peers}, {peers}]
[bind-addresses]
front = "{LOOPBACK}:{callers}"
readiness = "{LOOPBACK}:{health}"
[bounds]
grace-s = {grace_s}
retry-budget-slack = {slack}
quota-overage = 0
quota-slack = {quota_slack}
[zones]
{"".join(f"{name} = {{}}" + chr(10) for name in zones)}
[platform]
"""
        if store:
            text += f'address = "{LOOPBACK}:{self._store_port}"\n'
        self._settings.write_text(text, encoding="utf-8")

    def start(self, **settings):
        # A process that was started again doesn't know what the former one
        # spent, and must not take its start for the first one of the fleet.
        self._is_first_start = self.process is None
        self.write_settings(**settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self._build_command(),
                stdout=log,
                stderr=subprocess.STDOUT,
                env=self._build_environment(),
            )

    def check_settings(self, environment):
        """Let the program check its settings, and return its exit code."""
        return subprocess.run(
            [*self._build_command(), "--check-settings"],
            env=self._build_environment() | environment,
            check=False,
            timeout=STEP_TIMEOUT_S,
        ).returncode

    def _build_command(self):
        return [
            sys.executable,
            "-m",
            "bluebellbay_platform",
            "--metrics-port",
            str(self.ports[3]),
        ]

    def _build_environment(self):
        return {**os.environ, "BLUEBELLBAY_BOOT": str(self._settings)}

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(STEP_TIMEOUT_S)

    def call(self, path, *, method="GET", body=None, number=1, headers=None):
        connection = http.client.HTTPConnection(
            LOOPBACK, self.ports[0], timeout=STEP_TIMEOUT_S
        )
        headers = {
            "Host": HOST,
            "Bluebellbay-Request-Id": f"id-{number}",
            "Bluebellbay-Deadline-Ms": "5000",
            **(headers or {}),
        }
        try:
            connection.request(method, path, body=body, headers=headers)
            answer = connection.getresponse()
            return answer, answer.read()
        finally:
            connection.close()

    def fetch_page(self, port, path):
        connection = http.client.HTTPConnection(
            LOOPBACK, port, timeout=STEP_TIMEOUT_S
        )
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def is_listening(self):
        return self.fetch_page(self.ports[1], "/-/ready")[0] != 0

    def is_ready(self):
        return self.fetch_page(self.ports[1], "/-/ready")[0] == 200


class PlatformWorld:
    """A fake store, fake replicas and the program processes under test."""

    def __init__(self, *, programs=1, shards=4, postings=2):
        self.folder = tempfile.TemporaryDirectory()
        self.store = FakeStore()
        self.shards = [
            FakeReplica(f"shard-{number}", f"shard-{number}")
            for number in range(shards)
        ]
        self.posting_servers = [
            FakeReplica(f"posting-{number}", "posting")
            for number in range(postings)
        ]
        self.programs = [
            Program(
                name=f"node-{number}",
                folder=self.folder.name,
                store_port=self.store.server.port,
            )
            for number in range(programs)
        ]
        self.program = self.programs[0]
        # Client accounts of the next configurations, and fields of the
        # service of postings.
        self.tenants = None
        self.posting_fields = {}
        for replica in (*self.shards, *self.posting_servers):
            self.store.put(
                f"servers/{replica.replica_id}", replica.build_entry()
            )
        self.configure(7, "/post/", self.shards)

    def configure(self, version, prefix, shards, **fields):
        common_fields = {
            "hostname": HOST,
            "timeout-ms": 5000,
            "target-latency-ms": 2000,
            "max-attempts": 2,
        }
        services = [replica.service for replica in shards]
        query = {
            **common_fields,
            "name": "query",
            "prefix": "/query/",
            "type": "safe",
            "fanout-services": services,
            "top-k": 5,
            "min-shard-ratio": 0.75,
        }
        post = {
            **common_fields,
            "name": "post",
            "prefix": prefix,
            "type": "unsafe",
            "service": "posting",
        }
        value = {
            "version": version,
            "routes": [query, post],
            "services": [
                *({"name": name, "max-connections": 26} for name in services),
                {
                    "name": "posting",
                    "max-connections": 26,
                    **self.posting_fields,
                },
            ],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 262144,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            **fields,
        }
        if self.tenants is not None:
            value["tenants"] = self.tenants
            public = {"name": "open", "prefix": "/open/", "public": True}
            value["routes"].append({**post, **public})
        self.store.put("op/config", value)

    def stop(self):
        for program in self.programs:
            program.kill()
        for replica in (*self.shards, *self.posting_servers):
            replica.server.stop()
        self.store.server.stop()
        self.folder.cleanup()
