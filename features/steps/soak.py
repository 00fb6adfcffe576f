"""Soak test: random requests to real processes while faults are injected.

Replicas also cut answers off, send them twice, or send bytes without end.
Checks that every POST request runs at most once, that a status saying it was
not executed is true, that a query's answer holds the greatest records of the
shards that it names, all of one set, and counts the missing ones, and that
every program serves again once the faults are cleared and then ends with exit
code 0 and without a traceback.

Client accounts are configured unless the seed is divisible by 3: no key
reaches a replica, a log line or a metric, each replica is told the account of
the key, no request without a listed key runs, and no account runs more than
its quota. An operator evacuates a zone and restores it, and replicas come back
cold; neither may get more requests than its limit, unless the plan says so.

From the command line: ``python features/steps/soak.py --seeds 50 --first 1``.
"""

import argparse
import collections
import contextlib
import http.client
import random
import signal
import sys
import threading
import time

from fake_platform import MISBEHAVIOURS
from platform_world import PlatformWorld
from platform_world import wait_for
from run_log import RunLog
from soak_accounts import AccountBook
from soak_accounts import check_forwarding
from soak_answers import check_posts
from soak_answers import check_queries
from soak_plan import add_plan_options
from soak_plan import read_plan
from soak_plan import SoakPlan
from soak_zone import check_cold
from soak_zone import EVACUATED_ZONE
from soak_zone import restart_cold
from soak_zone import WARMUP_PER_S
from soak_zone import WARMUP_S
from soak_zone import ZoneOperator

CALLER_COUNT = 4
RECOVERY_TIMEOUT_S = 20.0
FAULT_INTERVAL_S = (0.1, 0.7)


class SoakTest:
    """One run: injects random faults while callers record their answers.

    The seed fixes the choice of faults and, by its parity, the number of
    shards; thread scheduling still makes runs differ.

    :param seed: Seed of the random faults.
    :param plan: What the run covers.
    """

    def __init__(self, seed, plan=SoakPlan()):  # noqa: B008
        self.plan = plan
        self.book = AccountBook(plan.quota_rate_per_s)
        self.has_accounts = seed % 3 != 0
        self.calls = {}
        self.cold_starts = collections.defaultdict(list)
        self.rng = random.Random(seed)
        # Queries over 36 shards are divided among the programs, which
        # delegate parts to each other; queries over 4 shards are not.
        few_shards = seed % 2
        shards = 4 if few_shards else 36
        self.world = PlatformWorld(programs=3, shards=2 * shards, postings=3)
        self.sequence = 1
        # Two disjoint sets of shards that hold the index; the configuration
        # names one of them at a time.
        self.shard_sets = (
            self.world.shards[:shards],
            self.world.shards[shards:],
        )
        far_servers = [shard_set[0] for shard_set in self.shard_sets]
        for server in (*far_servers, self.world.posting_servers[-1]):
            server.zone = EVACUATED_ZONE
            self._write_server_entry(server, draining=False)
        self.world.posting_fields = {
            "warmup-s": WARMUP_S,
            "warmup-per-s": WARMUP_PER_S,
        }
        self.zone_operator = ZoneOperator(self.world.store)
        self.log = RunLog(f"soak, seed {seed}")
        self.version = 7
        self.stopped = threading.Event()
        self.posts = []
        self.queries = []
        self.fault_names = []

    def run(self, seconds):
        """Run callers and faults, then check what the callers recorded.

        :param seconds: Seconds during which faults are injected.
        :returns: What was sent and judged, for printing.
        :raises AssertionError: If a guarantee was violated.
        """
        world = self.world
        try:
            self._configure(8, self.shard_sets[0])
            for program in world.programs:
                program.start()
            ready = wait_for(lambda: all(p.is_ready() for p in world.programs))
            assert ready, self._describe_programs()
            callers = [
                threading.Thread(target=self._send_requests, args=(number,))
                for number in range(CALLER_COUNT)
            ]
            for caller in callers:
                caller.start()
            if self.plan.limits_cold:
                self._restart_cold()
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                if self.plan.evacuates:
                    self.zone_operator.steer()
                self._inject_fault()
                time.sleep(self.rng.uniform(*FAULT_INTERVAL_S))
            self._clear_faults()
            self.stopped.set()
            for caller in callers:
                caller.join()
            check_posts(self.posts, world.posting_servers)
            check_queries(self.queries, self.shard_sets)
            self._check_accounts()
            judged_s = self._check_zone()
            self._check_recovery()
            self._check_exit()
        finally:
            self.stopped.set()
            world.stop()
        return (
            f"{len(self.posts)} POST requests, {len(self.queries)} queries, "
            f"{judged_s:.1f} s of an evacuation"
        )

    def _describe_programs(self):
        return "\n".join(
            f"{program.name} ready {program.is_ready()}, "
            f"exit code {program.process.poll()}, ports {program.ports}\n"
            f"{program.log.read_text()[-2000:]}"
            for program in self.world.programs
        )

    def _inject_fault(self):
        # The run record and the output name a fault by its method.
        fault = self.rng.choice(
            (
                self._kill,
                self._restart,
                self._freeze,
                self._lose_store,
                self._change_server,
                self._change_server,
                self._drain,
                self._restart_cold,
                self._reshard,
            )
        )
        self.fault_names.append(fault.__name__)
        self.log.record_fault(fault)

    def _kill(self):
        program = self.rng.choice(self.world.programs)
        program.kill()
        program.start()

    def _restart(self):
        program = self.rng.choice(self.world.programs)
        # A program that does not listen yet has no orderly shutdown to test.
        assert wait_for(program.is_listening)
        program.process.send_signal(signal.SIGTERM)
        code = program.process.wait(30)
        assert code == 0, (
            f"{program.name} ended with exit code {code} after SIGTERM"
        )
        program.start()

    def _freeze(self):
        process = self.rng.choice(self.world.programs).process
        process.send_signal(signal.SIGSTOP)
        time.sleep(self.rng.uniform(0.1, 1.5))
        process.send_signal(signal.SIGCONT)

    def _lose_store(self):
        since = time.monotonic()
        self.world.store.unavailable = True
        time.sleep(self.rng.uniform(0.1, 2.0))
        self.world.store.unavailable = False
        self.zone_operator.record_outage(since, time.monotonic())

    def _change_server(self):
        server = self.rng.choice(self._list_replicas())
        server.mode = self.rng.choice(
            ("serve", "break", "refuse", *MISBEHAVIOURS)
        )
        server.delay_s = self.rng.choice((0.0, 0.0, 0.2, 1.0))

    def _list_replicas(self):
        return (*self.world.shards, *self.world.posting_servers)

    def _drain(self):
        self._write_server_entry(
            self.rng.choice(self.world.posting_servers), draining=True
        )

    def _write_server_entry(self, server, *, draining):
        self.sequence += 1
        state = "draining" if draining else "ready"
        self.world.store.put(
            f"servers/{server.replica_id}",
            server.build_entry(state=state, sequence=self.sequence),
        )

    def _reshard(self):
        self.book.change(self.rng)
        self._configure(
            self.version + self.rng.randrange(1, 4),
            self.rng.choice(self.shard_sets),
        )

    def _configure(self, version, shard_set):
        self.version = version
        if self.has_accounts:
            self.world.tenants = self.book.build_tenants()
        self.world.configure(version, "/post/", shard_set)

    def _restart_cold(self):
        server = self.rng.choice(self.world.posting_servers)
        restart_cold(self.world.store, server)
        self.cold_starts[server].append(time.monotonic())

    def _clear_faults(self):
        self.zone_operator.restore()
        self.world.store.unavailable = False
        for server in self._list_replicas():
            server.mode = "serve"
            server.delay_s = 0.0
        for server in self.world.posting_servers:
            self._write_server_entry(server, draining=False)

    def _send_requests(self, caller):
        rng = random.Random(caller)
        number = 0
        while not self.stopped.is_set():
            number += 1
            name = f"{caller}-{number}"
            program = rng.choice(self.world.programs)
            prefix = rng.choice(self._list_prefixes())
            send = self._send_query if prefix == "query" else self._send_post
            path = f"/{prefix}/{name}"
            kind, account, headers = self.book.choose_headers(rng)
            started_at = time.monotonic()
            status = 0
            # A replica may get the request before its answer is there.
            self.calls[path] = (kind, account, status)
            with contextlib.suppress(OSError, http.client.HTTPException):
                status = send(program, path, headers, number)
            self.calls[path] = (kind, account, status)
            self.log.record_call(started_at, status)
            time.sleep(0.005)

    def _list_prefixes(self):
        if self.has_accounts:
            return ("query", "query", "post", "post", "open")
        return ("query", "post")

    def _send_query(self, program, path, headers, number):
        del number
        answer, body = program.call(path, number=path, headers=headers)
        self.queries.append((answer.status, answer.headers, body))
        return answer.status

    def _send_post(self, program, path, headers, number):
        body = f"{path} " * (number % 50)
        status, echo = 0, b""
        try:
            answer, echo = program.call(
                path,
                method="POST",
                body=body.encode(),
                number=path,
                headers=headers,
            )
            status = answer.status
        finally:
            self.posts.append((path, body.encode(), status, echo))
        return status

    def _check_accounts(self):
        replicas = self._list_replicas()
        if self.has_accounts:
            self.book.check_runs(self.calls, replicas)
            self.book.check_quota(replicas)
        else:
            check_forwarding(self.calls, replicas)

    def _check_zone(self):
        judged_s = self.zone_operator.check(self._list_replicas())
        if self.plan.limits_cold:
            for server, cold_starts in self.cold_starts.items():
                check_cold(server, cold_starts)
        return judged_s

    def _check_recovery(self):
        for program in self.world.programs:
            for path in ("/query/end", "/post/end"):
                assert wait_for(
                    lambda p=program, path=path: self._is_served(p, path),
                    RECOVERY_TIMEOUT_S,
                ), f"{program.name} does not serve {path} after the faults"
            assert wait_for(
                lambda p=program: self._answers_whole(p), RECOVERY_TIMEOUT_S
            ), f"{program.name} lacks shards after the faults"
            if self.has_accounts:
                self.book.check_refusals(program, wait_for)
                _, page = program.fetch_page(program.ports[3], "/metrics")
                assert page, f"{program.name} has no metrics"
                self._check_no_key(page.decode())

    def _is_served(self, program, path):
        method = "POST" if path.startswith("/post") else "GET"
        answer = self._call_with_key(program, path, method)
        return answer is not None and answer.status == 200

    def _answers_whole(self, program):
        # The shards of a restored zone are queried again too.
        answer = self._call_with_key(program, "/query/end", "GET")
        return (
            answer is not None
            and answer.headers["Bluebellbay-Missing-Shards"] == "0"
        )

    def _call_with_key(self, program, path, method):
        headers = {"Authorization": f"Bearer {self.book.kept_key}"}
        with contextlib.suppress(OSError, http.client.HTTPException):
            return program.call(path, method=method, headers=headers)[0]
        return None

    def _check_no_key(self, text):
        found = [key for key in self.book.keys if key in text]
        assert not found, f"a log or a page of metrics holds {found}"

    def _check_exit(self):
        for program in self.world.programs:
            program.process.send_signal(signal.SIGTERM)
        for program in self.world.programs:
            # 0 shows that the program shut down in order on SIGTERM.
            assert program.process.wait(30) == 0
            log = program.log.read_text()
            assert "Traceback" not in log
            if self.has_accounts:
                self._check_no_key(log)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument(
        "--record",
        help="file to write the last seed's run record to, "
        "for bluebellbay_report",
    )
    add_plan_options(parser)
    options = parser.parse_args()
    plan = read_plan(options)
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        soak_test = SoakTest(seed, plan)
        try:
            print(
                f"seed {seed}: ok, {soak_test.run(options.seconds)}",
                flush=True,
            )
        except AssertionError as error:
            failed += 1
            print(f"seed {seed}: FAILED {error} after {soak_test.fault_names}")
        if options.record:
            soak_test.log.write(options.record)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
