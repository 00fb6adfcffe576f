"""Steps about servers and entry VMs that leave under load."""

import contextlib
import dataclasses
import itertools
import threading
import time
import uuid

import behave

from bluebellbay_standins.client import call
from bluebellbay_standins.client import change
from bluebellbay_standins.client import Reply
from bluebellbay_standins.cluster import Cluster
from bluebellbay_standins.cluster import ClusterShape
from bluebellbay_standins.fleet import FIRST_SNAPSHOT
from bluebellbay_standins.fleet import MAZOWSZE
from bluebellbay_standins.fleet import SMALL
from bluebellbay_standins.operator_command import run_command
from bluebellbay_standins.process import wait_until
from bluebellbay_standins.verdict import find_faults

INDEX = "press-desk"
PROFILE = "batch-lookup"
CALLERS = 4
# Low enough that entry VMs which don't divide it among them exceed it.
CONNECTION_LIMIT = 6
LIMITED_FLEET = dataclasses.replace(
    SMALL,
    indexes=tuple(
        dataclasses.replace(index, connection_limit=CONNECTION_LIMIT)
        for index in SMALL.indexes
    ),
)
BALANCER_LAG_S = 2.0
SECOND_SIGNAL_DELAY_S = 0.5
EXIT_TIMEOUT_S = 60.0
NO_NEW_WORK_S = 5.0


@dataclasses.dataclass(kw_only=True)
class Exchange:
    """A request and its reply; ``None`` if the connection failed."""

    entry: str
    request_id: str
    began_at: float
    reply: Reply | None = None

    def find_faults(self):
        """List the faults of the reply; empty for a complete, correct one."""
        if self.reply is None:
            return ("no answer",)
        if self.reply.body.get("outcome") != "answered":
            return (str(self.reply.body),)
        return find_faults(
            self.reply,
            request_id=self.request_id,
            index=INDEX,
            snapshots=(FIRST_SNAPSHOT,),
            coverage_floor=1.0,
        )


class BalancedLoad:
    """Callers that send requests to the entry VMs in turn.

    Stands in for the balancer: an entry VM removed from ``entries`` gets no
    further requests.
    """

    def __init__(self, cluster):
        self.exchanges = []
        self.entries = [entry.name for entry in cluster.entries]
        self._cluster = cluster
        self._turns = itertools.count()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, daemon=True)
            for _ in range(CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop the callers and wait for answers that are outstanding."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        return tuple(self.exchanges)

    def _run(self):
        while not self._stopping.is_set():
            entries = tuple(self.entries)
            entry = entries[next(self._turns) % len(entries)]
            exchange = Exchange(
                entry=entry, request_id=uuid.uuid4().hex, began_at=time.time()
            )
            with contextlib.suppress(OSError):
                exchange.reply = self._cluster.query(
                    entry,
                    INDEX,
                    request_id=exchange.request_id,
                    profile=PROFILE,
                )
            self.exchanges.append(exchange)


def is_ready(cluster, name):
    """Say whether an entry VM can serve queries.

    It needs a configuration, a connection share above 0 for every server,
    and one answered query.
    """
    reply = cluster.daemons[name].probe("/v1/status")
    if reply.status != 200 or not reply.body["config_revision"]:
        return False
    shares = [item["connection_share"] for item in reply.body["servers"]]
    answered = answers_query(cluster, name)
    return len(shares) == len(cluster.places) and min(shares) > 0 and answered


def answers_query(cluster, name):
    reply = cluster.query(name, INDEX, profile=PROFILE)
    return reply.body.get("outcome") == "answered"


def wait_until_all_ready(cluster):
    for name in cluster.daemons:
        wait_until(
            lambda name=name: is_ready(cluster, name), f"{name} to be ready"
        )


@behave.given("a small fleet of processes under load")
def start_fleet_under_load(context):
    shape = ClusterShape(
        fleets=(LIMITED_FLEET,),
        entry_domains=(*MAZOWSZE, MAZOWSZE[0]),
        settings={"shutdown": {"balancer_lag_s": BALANCER_LAG_S}},
        seed=3,
    )
    cluster = context.cluster = Cluster(shape=shape)
    context.add_cleanup(cluster.close)
    cluster.start_platform()
    cluster.start_daemons()
    cluster.wait_until_up()
    result = run_command(
        cluster.daemons["entry-1"].settings_path,
        *("profile", "set", PROFILE),
        *("--coverage-floor", "1", "--delay-ms", "5000"),
        *("--extra-load", "0.05", "--rank", "0"),
    )
    assert result.exit_code == 0, result
    wait_until_all_ready(cluster)
    context.change_ids = read_change_ids(cluster)
    context.load = BalancedLoad(cluster)
    context.add_cleanup(context.load.stop)


def read_change_ids(cluster):
    return {
        name: daemon.probe("/v1/status").body["config_change_id"]
        for name, daemon in cluster.daemons.items()
    }


@behave.when(
    'server "{name}" leaves, the VM list shows it {lag_s:d} s late and its '
    "health report says that it stays"
)
def start_leaving(context, name, lag_s):
    cluster = context.cluster
    context.server = name
    change(cluster.vm_list, "/control", lag_s=lag_s)
    mark = {"name": name, "state": "leaving"}
    call(cluster.vm_list, "POST", "/control/mark", mark)
    cluster.control_backend(name, leaving=True, said_leaving=False)


@behave.when('an operator marks server "{name}" as leaving')
def mark_leaving(context, name):
    context.server = name
    settings = context.cluster.daemons["entry-1"].settings_path
    result = run_command(settings, "vm", "leave", name)
    assert result.exit_code == 0, result


@behave.then(
    "after {wait_s:d} s it gets no new leg for {quiet_s:d} s while others do"
)
def check_no_new_work(context, wait_s, quiet_s):
    time.sleep(wait_s)
    before = context.cluster.read_backend_counts()
    time.sleep(quiet_s)
    after = context.cluster.read_backend_counts()
    new_legs = {
        name: after[name]["legs"] - before[name]["legs"] for name in after
    }
    assert new_legs[context.server] == 0, new_legs
    assert sum(new_legs.values()) > 0, new_legs
    counts = after[context.server]
    print(f"last leg {counts['last_leg_after_leaving_s']} s after leaving")
    print(f"legs while leaving: {counts['legs_while_leaving']}")


@behave.then("every request of the load was answered completely")
def check_load_answered(context):
    check_answered(context.load.stop())


def check_answered(exchanges):
    faults = [fault for item in exchanges for fault in item.find_faults()]
    print(f"{len(exchanges)} requests, {len(faults)} faults")
    assert exchanges
    assert not faults, faults[:3]


@behave.when("every server takes {median_ms:d} ms for a leg")
def set_leg_time(context, median_ms):
    for place in context.cluster.places:
        context.cluster.control_backend(place.name, median_ms=median_ms)


@behave.when('entry VM "{name}" gets SIGTERM twice')
def terminate_twice(context, name):
    context.stopped_entry = name
    context.terminated_at = time.time()
    child = context.cluster.daemons[name].child
    child.terminate()
    time.sleep(SECOND_SIGNAL_DELAY_S)
    child.terminate()
    wait_until(lambda: not child.running, f"{name} to exit", EXIT_TIMEOUT_S)
    context.exited_at = time.time()


@behave.then(
    "it exits with code 0, no earlier than the balancer's lag after SIGTERM"
)
def check_exit(context):
    child = context.cluster.daemons[context.stopped_entry].child
    assert child.exit_code == 0, child.read_log()[-2000:]
    exit_s = context.exited_at - context.terminated_at
    print(f"exited after {exit_s:.1f} s")
    assert exit_s >= BALANCER_LAG_S, exit_s


@behave.then(
    "requests to it before the end of the lag, and all to other VMs, were "
    "answered completely"
)
def check_before_lag(context):
    context.exchanges = context.load.stop()
    lag_ends_at = context.terminated_at + BALANCER_LAG_S
    check_answered(
        tuple(
            item
            for item in context.exchanges
            if item.entry != context.stopped_entry
            or item.began_at < lag_ends_at
        )
    )


@behave.then(
    "later requests to it were answered, refused as not run or could not "
    "connect"
)
def check_after_lag(context):
    after_lag = [
        item.reply.body
        for item in context.exchanges
        if item.entry == context.stopped_entry and item.reply is not None
    ]
    outcomes = [(body["outcome"], body["error"]) for body in after_lag]
    refused = [error for outcome, error in outcomes if outcome == "not-run"]
    answered = [error for outcome, error in outcomes if outcome == "answered"]
    print(f"{len(answered)} answered, {len(refused)} not run")
    assert len(answered) + len(refused) == len(after_lag), outcomes
    assert {error["kind"] for error in refused} <= {"shutting-down"}, refused


@behave.when("each entry VM is shut down gracefully and restarted in turn")
def restart_each_entry(context):
    cluster = context.cluster
    for name, daemon in cluster.daemons.items():
        context.load.entries.remove(name)
        daemon.child.terminate()
        code = daemon.child.wait(EXIT_TIMEOUT_S)
        assert code == 0, f"exit code {code}\n{daemon.child.read_log()}"
        daemon.start()
        wait_until(
            lambda name=name: (
                cluster.daemons[name].probe("/v1/health").status == 200
            ),
            f"{name} to be healthy",
        )
        began_at = time.time()
        wait_until(
            lambda name=name: is_ready(cluster, name), f"{name} to be ready"
        )
        print(f"{name} served after {time.time() - began_at:.1f} s")
        context.load.entries.append(name)


@behave.then("every entry VM has the same configuration in force as before")
def check_configuration(context):
    assert read_change_ids(context.cluster) == context.change_ids


@behave.then(
    "every request to the VMs that were not leaving was answered completely"
)
def check_answered_by_remaining(context):
    check_answered(context.load.stop())


@behave.then("no server ever exceeded its connection limit")
def check_connection_limits(context):
    counts = context.cluster.read_backend_counts()
    for place in context.cluster.places:
        counted = counts[place.name]
        limit = place.index.connection_limit
        assert counted["most_connections"] <= limit, (place.name, counted)
        assert counted["connections_refused"] == 0, (place.name, counted)
    peak_connections = max(
        item["most_connections"] for item in counts.values()
    )
    print(f"at most {peak_connections} concurrent connections to one server")
