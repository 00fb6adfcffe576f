"""Soak test: random requests to real processes while faults are injected.

Replicas also cut answers off, send them twice, or send bytes without end.
Checks that every POST request runs at most once, that a status saying it was
not executed is true, that a query's answer holds the greatest records of the
shards that it names, all of one set, and counts the missing ones, and that
every program serves again once the faults are cleared and then ends with exit
code 0 and without a traceback.

From the command line: ``python features/steps/soak.py --seeds 50 --first 1``.
"""

import argparse
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
from run_log import NOT_EXECUTED_STATUSES
from run_log import RunLog

CALLER_COUNT = 4
RECOVERY_TIMEOUT_S = 20.0
FAULT_INTERVAL_S = (0.1, 0.7)


class SoakTest:
    """One run: injects random faults while callers record their answers.

    The seed fixes the choice of faults and, by its parity, the number of
    shards; thread scheduling still makes runs differ.

    :param seed: Seed of the random faults.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        # Queries over 36 shards are divided among the programs, which
        # delegate parts to each other; queries over 4 shards are not.
        few_shards = seed % 2
        shards = 4 if few_shards else 36
        self.world = PlatformWorld(programs=3, shards=2 * shards, postings=3)
        # Two disjoint sets of shards that hold the index; the configuration
        # names one of them at a time.
        self.shard_sets = (
            self.world.shards[:shards],
            self.world.shards[shards:],
        )
        self.log = RunLog(f"soak, seed {seed}")
        self.version = 7
        self.sequence = 1
        self.stopped = threading.Event()
        self.posts = []
        self.queries = []
        self.fault_names = []

    def run(self, seconds):
        """Run callers and faults, then check what the callers recorded.

        :param seconds: Seconds during which faults are injected.
        :returns: How many requests were sent, for printing.
        :raises AssertionError: If a guarantee was violated.
        """
        world = self.world
        try:
            world.configure(8, "/post/", self.shard_sets[0])
            self.version = 8
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
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                self._inject_fault()
                time.sleep(self.rng.uniform(*FAULT_INTERVAL_S))
            self._clear_faults()
            self.stopped.set()
            for caller in callers:
                caller.join()
            self._check_requests()
            self._check_recovery()
            self._check_exit()
        finally:
            self.stopped.set()
            world.stop()
        return f"{len(self.posts)} POST requests, {len(self.queries)} queries"

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
        self.world.store.unavailable = True
        time.sleep(self.rng.uniform(0.1, 2.0))
        self.world.store.unavailable = False

    def _change_server(self):
        server = self.rng.choice(
            (*self.world.shards, *self.world.posting_servers)
        )
        server.mode = self.rng.choice(
            ("serve", "break", "refuse", *MISBEHAVIOURS)
        )
        server.delay_s = self.rng.choice((0.0, 0.0, 0.2, 1.0))

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
        self.version += self.rng.randrange(1, 4)
        self.world.configure(
            self.version, "/post/", self.rng.choice(self.shard_sets)
        )

    def _clear_faults(self):
        self.world.store.unavailable = False
        for server in (*self.world.shards, *self.world.posting_servers):
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
            send = self._send_post if rng.random() < 0.5 else self._send_query
            started_at = time.monotonic()
            status = 0
            with contextlib.suppress(OSError, http.client.HTTPException):
                status = send(program, name, number)
            self.log.record_call(started_at, status)
            time.sleep(0.005)

    def _send_query(self, program, name, number):
        answer, body = program.call(f"/query/{name}", number=name)
        self.queries.append((answer.status, answer.headers, body))
        return answer.status

    def _send_post(self, program, name, number):
        path = f"/post/{name}"
        body = f"{name} " * (number % 50)
        status, echo = 0, b""
        try:
            answer, echo = program.call(
                path, method="POST", body=body.encode(), number=name
            )
            status = answer.status
        finally:
            self.posts.append((path, body.encode(), status, echo))
        return status

    def _check_requests(self):
        bodies_by_path = {}
        for server in self.world.posting_servers:
            for _, path, body in server.ran:
                bodies_by_path.setdefault(path, []).append(body)
        for path, body, status, echo in self.posts:
            ran = bodies_by_path.get(path, [])
            assert len(ran) <= 1, f"{path} was executed {len(ran)} times"
            assert ran in ([], [body]), (
                f"{path} was executed with a body that was not sent"
            )
            assert not (ran and status in NOT_EXECUTED_STATUSES), (
                f"{path} was executed but answered with status {status}"
            )
            if status == 200 and body:
                assert echo == body, f"{path} was answered with another body"
        for status, headers, body in self.queries:
            if status == 200:
                self._check_query_answer(headers, body)

    def _check_query_answer(self, headers, body):
        digests = headers["Bluebellbay-Shard-Signatures"].split(", ")
        missing = int(headers["Bluebellbay-Missing-Shards"])
        assert len(set(digests)) == len(digests), digests
        shard_by_digest = {
            f"digest-{shard.replica_id}": shard for shard in self.world.shards
        }
        shards = [shard_by_digest[digest] for digest in digests]
        (shard_set,) = [
            shard_set
            for shard_set in self.shard_sets
            if shards[0] in shard_set
        ]
        assert all(shard in shard_set for shard in shards), digests
        assert len(shards) + missing == len(shard_set), (digests, missing)
        # A record has 16 bytes, and the route's ``top-k`` is 5.
        records = sorted(
            (
                shard.records[offset : offset + 16]
                for shard in shards
                for offset in range(0, len(shard.records), 16)
            ),
            reverse=True,
        )
        assert body == b"".join(records[:5])

    def _check_recovery(self):
        for program in self.world.programs:
            for path in ("/query/end", "/post/end"):
                assert wait_for(
                    lambda p=program, path=path: self._is_served(p, path),
                    RECOVERY_TIMEOUT_S,
                ), f"{program.name} does not serve {path} after the faults"

    def _is_served(self, program, path):
        method = "POST" if path.startswith("/post") else "GET"
        with contextlib.suppress(OSError, http.client.HTTPException):
            return program.call(path, method=method)[0].status == 200
        return False

    def _check_exit(self):
        for program in self.world.programs:
            program.process.send_signal(signal.SIGTERM)
        for program in self.world.programs:
            # 0 shows that the program shut down in order on SIGTERM.
            assert program.process.wait(30) == 0
            assert "Traceback" not in program.log.read_text()


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
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        soak_test = SoakTest(seed)
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
