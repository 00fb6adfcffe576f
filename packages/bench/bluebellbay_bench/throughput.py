"""Measures what a query costs a daemon, over separate processes.

Prints queries a second for one core and the latency at half of that rate,
for this version and, in the same run, for an earlier checkout of it.
"""

import argparse
import concurrent.futures
import dataclasses
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import tabulate

from bluebellbay.coordination.configurations.change import apply_change
from bluebellbay.coordination.configurations.change import SetProfile
from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.configuration import CONFIGURATION_KEY
from bluebellbay.protocol.profile import Profile
from bluebellbay.settings import IndexSettings
from bluebellbay_bench.figure import find_quantile
from bluebellbay_standins.client import call
from bluebellbay_standins.cluster import Cluster
from bluebellbay_standins.cluster import ClusterShape
from bluebellbay_standins.fleet import FleetShape
from bluebellbay_standins.process import wait_until
from bluebellbay_standins.process import write_yaml

DOMAIN = "bench-a"
PROFILE = "bench"
INDEX = "bench"
CALLERS = 6
BACKEND_PROCESSES = 4
WARM_UP_S = 2.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MS_PER_S = 1000
US_PER_S = 1_000_000
HTTP_OK = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Version:
    """A checkout whose daemon is measured.

    :param name: Name for the table.
    :param root: Root of the checkout.
    """

    name: str
    root: pathlib.Path


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Throughput:
    """What one daemon came to.

    :param version: Name of the version.
    :param services: Services of a query.
    :param queries: Queries answered whole while saturated.
    :param queries_a_core_s: Queries for a second of processor time.
    :param leg_us: Processor time of a leg in microseconds.
    :param half_p50_ms: Latency at half of that rate, 50th in 100.
    :param half_p99_ms: Latency at half of that rate, 99th in 100.
    :param memory_mb: Resident memory at the end.
    :param idle_ms_s: Processor time in ms for each second without queries.
    """

    version: str
    services: int
    queries: int
    queries_a_core_s: float
    leg_us: float
    half_p50_ms: float
    half_p99_ms: float
    memory_mb: float
    idle_ms_s: float


class MeasuredDaemon:
    """A daemon run from a given checkout.

    :param version: The checkout.
    :param settings: Path of its settings.
    :param address: ``host:port`` for callers.
    """

    def __init__(
        self, *, version: Version, settings: pathlib.Path, address: str
    ) -> None:
        self.address = address
        packages = version.root / "packages"
        paths = [packages / "bluebellbay", packages / "bluebellbayd"]
        self._log = settings.with_suffix(f".{version.name}.log").open("wb")
        self._process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "bluebellbayd.main",
                "--settings",
                str(settings),
            ],
            env={**os.environ, "PYTHONPATH": ":".join(map(str, paths))},
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def measure_cpu(self) -> float:
        """Measure the processor time used so far in seconds."""
        path = pathlib.Path(f"/proc/{self._process.pid}/stat")
        fields = path.read_text(encoding="ascii").rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def measure_memory(self) -> float:
        """Measure the resident memory in MB."""
        path = pathlib.Path(f"/proc/{self._process.pid}/statm")
        pages = int(path.read_text(encoding="ascii").split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def ask(self, number: int) -> float:
        """Send a query and wait for its answer.

        :param number: Number of the query.
        :returns: Latency in seconds; infinite unless answered whole.
        """
        started = time.perf_counter()
        body = {
            "request_id": f"{number}-{time.time_ns()}",
            "profile": PROFILE,
            "query": {"text": "pigment"},
        }
        reply = call(self.address, "POST", f"/v1/query/{INDEX}", body)
        if reply.status != HTTP_OK or reply.body["outcome"] != "answered":
            return float("inf")
        return time.perf_counter() - started

    def is_ready(self) -> bool:
        """Say whether a query is answered whole."""
        try:
            return self.ask(0) < float("inf")
        except OSError:
            return False

    def stop(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait()
        self._log.close()


def ask_until(daemon: MeasuredDaemon, end_at: float) -> list[float]:
    """Send queries one after the other.

    :param daemon: The daemon.
    :param end_at: Monotonic time in seconds at which to stop.
    :returns: The latencies in seconds.
    """
    latencies: list[float] = []
    while time.monotonic() < end_at:
        latencies.append(daemon.ask(len(latencies)))
    return latencies


def saturate(daemon: MeasuredDaemon, seconds: float) -> list[float]:
    """Send as many queries as the callers can.

    :param daemon: The daemon.
    :param seconds: Time in seconds.
    :returns: The latencies in seconds.
    """
    end_at = time.monotonic() + seconds
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        runs = [pool.submit(ask_until, daemon, end_at) for _ in range(CALLERS)]
        return [item for run in runs for item in run.result()]


def measure_idle(daemon: MeasuredDaemon, seconds: float) -> float:
    """Measure what a daemon uses without queries.

    :param daemon: The daemon.
    :param seconds: Time in seconds.
    :returns: Processor time in seconds for each second.
    """
    before_s = daemon.measure_cpu()
    time.sleep(seconds)
    return (daemon.measure_cpu() - before_s) / seconds


def pace(daemon: MeasuredDaemon, rate: float, seconds: float) -> list[float]:
    """Send queries at a steady rate, whatever their answers take.

    :param daemon: The daemon.
    :param rate: Queries a second.
    :param seconds: Time in seconds.
    :returns: The latencies in seconds.
    """
    started = time.monotonic()
    runs = []
    with concurrent.futures.ThreadPoolExecutor(4 * CALLERS) as pool:
        for number in range(int(rate * seconds)):
            wait_s = started + number / rate - time.monotonic()
            time.sleep(max(0.0, wait_s))
            runs.append(pool.submit(daemon.ask, number))
        return [run.result() for run in runs]


def shape_cluster(services: int, log_decisions: bool) -> ClusterShape:
    """Shape one entry VM over fast backend servers.

    :param services: Services of the index.
    :param log_decisions: Whether decisions are logged.
    :returns: The shape.
    """
    index = IndexSettings(name=INDEX, services=services, replicas=2, slots=16)
    fleet = FleetShape(
        region="bench", failure_domains=(DOMAIN,), indexes=(index,)
    )
    return ClusterShape(
        fleets=(fleet,),
        entry_domains=(DOMAIN,),
        backend_processes=BACKEND_PROCESSES,
        behaviour={"median_ms": 1.0, "spread": 0.1},
        settings={"log": {"form": "json", "decisions": log_decisions}},
    )


def store_profile(cluster: Cluster) -> None:
    """Put the bench's profile into the store.

    :param cluster: The cluster.
    """
    profile = Profile(name=PROFILE, coverage_floor=0, delay_ms=5000)
    document = apply_change(
        None, SetProfile(profile=profile), change_id="bench", author="bench"
    ).ok
    body = {"value": encode_json(document).decode(), "expected_version": 0}
    call(cluster.store, "PUT", f"/v1/keys/{CONFIGURATION_KEY}", body)


def measure_version(
    cluster: Cluster,
    version: Version,
    folder: pathlib.Path,
    seconds: float,
) -> Throughput:
    """Measure one daemon.

    :param cluster: The platform and the backend servers.
    :param version: The checkout that the daemon runs from.
    :param folder: Where its files go.
    :param seconds: Length of each phase.
    :returns: What it came to.
    """
    entry = cluster.entries[0]
    settings = folder / f"{version.name}.yaml"
    write_yaml(settings, cluster.describe_settings(entry))
    daemon = MeasuredDaemon(
        version=version, settings=settings, address=entry.address
    )
    try:
        wait_until(daemon.is_ready, f"{version.name} to answer")
        saturate(daemon, WARM_UP_S)
        before_s = daemon.measure_cpu()
        latencies = saturate(daemon, seconds)
        used_s = daemon.measure_cpu() - before_s
        rate = len(latencies) / used_s
        paced = pace(daemon, rate / 2, seconds)
        memory_mb = daemon.measure_memory()
        idle_s = measure_idle(daemon, seconds)
    finally:
        daemon.stop()
    services = cluster.shape.fleets[0].indexes[0].services
    return Throughput(
        version=version.name,
        services=services,
        queries=sum(item < float("inf") for item in latencies),
        queries_a_core_s=rate,
        leg_us=used_s / len(latencies) / services * US_PER_S,
        half_p50_ms=find_quantile(paced, 0.5) * MS_PER_S,
        half_p99_ms=find_quantile(paced, 0.99) * MS_PER_S,
        memory_mb=memory_mb,
        idle_ms_s=idle_s * MS_PER_S,
    )


def make_folder() -> tempfile.TemporaryDirectory[str]:
    """Make a folder for settings and logs.

    :returns: The folder, as a context.
    """
    return tempfile.TemporaryDirectory(prefix="bluebellbay-bench-")


def parse_arguments() -> argparse.Namespace:
    """Read the command line.

    :returns: The arguments.
    """
    parser = argparse.ArgumentParser(
        prog="python -m bluebellbay_bench.throughput"
    )
    parser.add_argument("--services", type=int, action="append")
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--no-decisions", action="store_true")
    parser.add_argument(
        "--against",
        type=pathlib.Path,
        metavar="CHECKOUT",
        help="root of an earlier checkout, measured in the same run",
    )
    return parser.parse_args()


def main() -> int:
    """Measure and print a table.

    :returns: The exit code.
    """
    arguments = parse_arguments()
    root = pathlib.Path(__file__).resolve().parents[3]
    versions = [Version(name="this", root=root)]
    if arguments.against:
        versions.append(Version(name="earlier", root=arguments.against))
    results = []
    for services in arguments.services or [20, 50]:
        shape = shape_cluster(services, not arguments.no_decisions)
        with Cluster(shape=shape) as cluster, make_folder() as folder:
            cluster.start_platform()
            store_profile(cluster)
            results += [
                measure_version(
                    cluster, version, pathlib.Path(folder), arguments.seconds
                )
                for version in versions
            ]
    names = [field.name for field in dataclasses.fields(Throughput)]
    rows = [dataclasses.astuple(item) for item in results]
    print(tabulate.tabulate(rows, headers=names, floatfmt=".3f"))
    return 0


if __name__ == "__main__":
    sys.exit(main())
