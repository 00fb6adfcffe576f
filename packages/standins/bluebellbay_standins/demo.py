"""Shows the whole path over separate processes, and checks each step."""

import argparse
import collections
from collections.abc import Iterator
import concurrent.futures
import dataclasses
import itertools
import signal
import sys
import time
from typing import NoReturn
import uuid

from bluebellbay_standins.client import call
from bluebellbay_standins.cluster import Cluster
from bluebellbay_standins.cluster import ClusterShape
from bluebellbay_standins.demo_check import check_samples
from bluebellbay_standins.demo_check import describe_samples
from bluebellbay_standins.demo_check import describe_shutdown
from bluebellbay_standins.demo_check import find_cut_off
from bluebellbay_standins.demo_check import list_faults
from bluebellbay_standins.demo_check import require
from bluebellbay_standins.demo_check import StepFailed
from bluebellbay_standins.demo_profile import DemoProfile
from bluebellbay_standins.demo_profile import find_profile
from bluebellbay_standins.demo_profile import PROFILES
from bluebellbay_standins.fleet import CO_OP
from bluebellbay_standins.fleet import FleetShape
from bluebellbay_standins.fleet import HSINCHU
from bluebellbay_standins.load import Query
from bluebellbay_standins.load import send_queries
from bluebellbay_standins.load import SteadyLoad
from bluebellbay_standins.operator_command import CommandResult
from bluebellbay_standins.operator_command import run_command
from bluebellbay_standins.process import wait_until
from bluebellbay_standins.row import ROW_STRIDE

IN_FORCE_S = 10.0
NO_NEW_WORK_S = 5.0
QUIET_S = 2.0
SHUTDOWN_S = 30.0
POSTING_LIFE_S = 60.0
POSTING_INDEX = "ledgerrun"
POSTING_KEY = 7 * ROW_STRIDE
LEAVING_SERVER = "press-desk-01-a"
SLOW_SERVER = "bidfront-01-a"
SLOW_FACTOR = 10.0


class Demo:
    """The steps of the demo, over one cluster.

    :param cluster: The cluster.
    :param queries: Queries sent to each index.
    """

    def __init__(self, *, cluster: Cluster, queries: int) -> None:
        self._cluster = cluster
        self._queries = queries
        self._entries = [entry.name for entry in cluster.entries]

    def run(self) -> Iterator[str]:
        """Run every step.

        :returns: Lines of the report.
        :raises StepFailed: At the first step that came out wrong.
        """
        for step in (
            self._start,
            self._set_profiles,
            self._query_all,
            self._query_straggler,
            self._post_once,
            self._change_profile,
            self._leave_by_list,
            self._leave_by_operator,
            self._shut_down_entry,
        ):
            started = time.monotonic()
            yield from step()
            yield f"   took {time.monotonic() - started:.1f} s"

    def _start(self) -> Iterator[str]:
        yield "1. Start the platform, the backend servers and the daemons"
        self._cluster.start_platform()
        self._cluster.start_daemons()
        domains = {item.failure_domain for item in self._cluster.entries}
        yield (
            f"   {len(self._cluster.places)} backend servers,"
            f" {len(self._entries)} entry VMs in {len(domains)}"
            " failure domains"
        )

    def _set_profiles(self) -> Iterator[str]:
        yield "2. Set the profiles with bluebellctl"
        for profile in PROFILES:
            done = self._set_profile(profile)
            require(done.exit_code == 0, f"{profile.name}: {done}")
            yield f"   {profile.name}: {summarise(done.output)}"
        self._cluster.wait_until_up()
        wait_until(self._serves_all, "every index to be served")

    def _query_all(self) -> Iterator[str]:
        yield "3. Query every index of both users at every entry VM"
        for profile in PROFILES:
            for index in profile.indexes:
                yield from self._query_index(profile, index, callers=4)

    def _query_straggler(self) -> Iterator[str]:
        yield f"4. The same with {SLOW_SERVER} {SLOW_FACTOR:g} times slower"
        self._cluster.control_backend(SLOW_SERVER, straggle_factor=SLOW_FACTOR)
        profile = find_profile("closing-minute")
        yield from self._query_index(profile, "bidfront", callers=4)
        self._cluster.control_backend(SLOW_SERVER, straggle_factor=1.0)

    def _post_once(self) -> Iterator[str]:
        yield "5. Send one settlement to all entry VMs at once"
        request_id = f"settlement-{uuid.uuid4().hex}"
        replies = post_everywhere(self._cluster, self._entries, request_id)
        outcomes = collections.Counter(item["outcome"] for item in replies)
        runs = self._cluster.count_executions(request_id)
        require(runs == 1, f"it ran {runs} times: {dict(outcomes)}")
        require(outcomes["answered"] >= 1, f"outcomes {dict(outcomes)}")
        yield f"   ran once; answers: {dict(outcomes)}"

    def _change_profile(self) -> Iterator[str]:
        yield "6. Change a profile while queries run"
        before = self._read_revisions()
        changed = dataclasses.replace(
            find_profile("stock-check"), coverage_floor=0.95
        )
        load = self._start_load("magazyn", changed.name)
        started = time.monotonic()
        done = self._set_profile(changed)
        require(done.exit_code == 0, f"{done}")
        wait_until(
            lambda: min(self._read_revisions()) > max(before),
            "the revision to be in force everywhere",
            IN_FORCE_S,
        )
        took_s = time.monotonic() - started
        samples = load.stop()
        check_samples(samples)
        revisions = [
            sample.reply.body["config_revision"]
            for sample in samples
            if sample.reply is not None
        ]
        require(min(revisions) >= min(before), "a revision went back")
        yield (
            f"   revision {max(self._read_revisions())} in force everywhere"
            f" after {took_s:.2f} s, {len(samples)} queries meanwhile"
        )

    def _leave_by_list(self) -> Iterator[str]:
        yield f"7. The platform's list marks {LEAVING_SERVER} as leaving"
        call(
            self._cluster.vm_list,
            "POST",
            "/control/mark",
            {"name": LEAVING_SERVER, "state": "leaving"},
        )
        yield from self._watch_leaving(LEAVING_SERVER)

    def _leave_by_operator(self) -> Iterator[str]:
        server = "press-desk-02-b"
        yield f"8. An operator marks {server} as leaving"
        done = self._run_command("vm", "leave", server)
        require(done.exit_code == 0, f"{done}")
        yield from self._watch_leaving(server)

    def _watch_leaving(self, server: str) -> Iterator[str]:
        load = self._start_load("press-desk", "batch-lookup")
        time.sleep(NO_NEW_WORK_S)
        before = self._cluster.read_backend_counts()
        time.sleep(QUIET_S)
        after = self._cluster.read_backend_counts()
        samples = load.stop()
        check_samples(samples)
        new = after[server]["legs"] - before[server]["legs"]
        others = sum(item["legs"] for item in after.values()) - sum(
            item["legs"] for item in before.values()
        )
        require(new == 0, f"{server} got {new} legs")
        require(others > 0, "no queries ran meanwhile")
        yield (
            f"   {NO_NEW_WORK_S:g} s later it gets no new leg, the others"
            f" {others}; all {len(samples)} answers complete"
        )

    def _shut_down_entry(self) -> Iterator[str]:
        name = self._entries[-1]
        yield f"9. {name} shuts down gracefully while queries run"
        daemon = self._cluster.daemons[name]
        load = self._start_load("press-desk", "batch-lookup", (name,))
        time.sleep(1.0)
        daemon.child.terminate()
        wait_until(lambda: not daemon.child.running, "its end", SHUTDOWN_S)
        samples = load.stop()
        faults = list_faults(samples)
        require(not faults, "; ".join(faults))
        code = daemon.child.exit_code
        require(code == 0, f"exit code {code}")
        cut = find_cut_off(samples)
        require(not cut, f"{len(cut)} requests were cut off")
        yield f"   exit code 0; {describe_shutdown(samples)}"

    def _query_index(
        self, profile: DemoProfile, index: str, callers: int
    ) -> Iterator[str]:
        before = self._count_legs(index)
        entries = itertools.cycle(self._entries)
        samples = send_queries(
            self._cluster,
            [
                Query(
                    entry=next(entries),
                    index=index,
                    profile=profile.name,
                    coverage_floor=profile.coverage_floor,
                )
                for _ in range(self._queries)
            ],
            callers,
        )
        check_samples(samples)
        services = len(
            {
                place.service
                for place in self._cluster.places
                if place.index.name == index
            }
        )
        first = services * len(samples)
        extra = max(0, self._count_legs(index) - before - first) / first
        yield f"   {index:13s} {describe_samples(samples)}, {extra:.1%} extra"

    def _count_legs(self, index: str) -> int:
        counts = self._cluster.read_backend_counts()
        return sum(
            counts[place.name]["executions"]
            for place in self._cluster.places
            if place.index.name == index
        )

    def _start_load(
        self, index: str, profile: str, entries: tuple[str, ...] = ()
    ) -> SteadyLoad:
        names = entries or tuple(self._entries)
        floor = find_profile(profile).coverage_floor
        load = SteadyLoad(
            cluster=self._cluster,
            callers=4,
            draw=lambda number: Query(
                entry=names[number % len(names)],
                index=index,
                profile=profile,
                coverage_floor=floor,
            ),
        )
        load.start()
        return load

    def _serves_all(self) -> bool:
        samples = send_queries(
            self._cluster,
            [
                Query(
                    entry=entry,
                    index=index,
                    profile=profile.name,
                    coverage_floor=profile.coverage_floor,
                )
                for entry in self._entries
                for profile in PROFILES
                for index in profile.indexes
            ],
            callers=2,
        )
        return all(sample.outcome == "answered" for sample in samples)

    def _read_revisions(self) -> list[int]:
        return [
            daemon.probe("/v1/status").body["config_revision"]
            for daemon in self._cluster.daemons.values()
        ]

    def _set_profile(self, profile: DemoProfile) -> CommandResult:
        return self._run_command(
            "profile",
            "set",
            profile.name,
            "--coverage-floor",
            str(profile.coverage_floor),
            "--delay-ms",
            str(profile.delay_ms),
            "--extra-load",
            str(profile.extra_load),
            "--rank",
            str(profile.rank),
        )

    def _run_command(self, *arguments: str) -> CommandResult:
        daemon = self._cluster.daemons[self._entries[0]]
        return run_command(daemon.settings_path, *arguments)


def post_everywhere(
    cluster: Cluster, entries: list[str], request_id: str
) -> list[dict[str, str]]:
    """Send one posting to several entry VMs at once.

    :param cluster: The cluster.
    :param entries: Names of the entry VMs.
    :param request_id: The request id that all of them carry.
    :returns: The bodies of the answers.
    """
    expires_at = time.time() + POSTING_LIFE_S
    with concurrent.futures.ThreadPoolExecutor(len(entries)) as pool:
        replies = pool.map(
            lambda entry: cluster.query(
                entry,
                POSTING_INDEX,
                request_id=request_id,
                profile="settlement",
                query={"lot": 7},
                key=POSTING_KEY,
                repeatable=False,
                expires_at=expires_at,
            ),
            entries,
        )
        return [reply.body for reply in replies]


def summarise(output: str) -> str:
    """Take the last line of a command's output.

    :param output: The output.
    :returns: The line.
    """
    lines = output.strip().splitlines()
    return lines[-1] if lines else "done"


def describe_cluster(fleets: tuple[FleetShape, ...]) -> ClusterShape:
    """Describe the cluster of the demo.

    :param fleets: The users.
    :returns: Its shape.
    """
    first, second, third = fleets[0].failure_domains
    return ClusterShape(
        fleets=fleets,
        entry_domains=(first, second, third, first),
        backend_processes=4,
        settings={
            "log": {"form": "json", "decisions": False},
            "shutdown": {"balancer_lag_s": 1.0, "limit_s": 20.0},
        },
    )


def _end_on_signal(number: int, frame: object) -> NoReturn:
    raise SystemExit(128 + number)


def main(arguments: list[str] | None = None) -> int:
    """Run the demo.

    :param arguments: The command line; none for the process's own.
    :returns: The exit code; 0 only if each step came out right.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--queries", type=int, default=100, help="queries to each index"
    )
    options = parser.parse_args(arguments)
    signal.signal(signal.SIGTERM, _end_on_signal)
    started = time.monotonic()
    shape = describe_cluster((CO_OP, HSINCHU))
    with Cluster(shape=shape) as cluster:
        try:
            for line in Demo(cluster=cluster, queries=options.queries).run():
                print(line, flush=True)
        except (StepFailed, TimeoutError, RuntimeError, OSError) as error:
            print(f"   WRONG: {error}")
            print(f"demo failed after {time.monotonic() - started:.0f} s")
            return 1
    print(f"every step came out right in {time.monotonic() - started:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
