"""Prints docs/CAPACITY.md from the slopes in docs/capacity.yaml."""

import dataclasses
import pathlib
import sys
from typing import Any

import msgspec

ROOT = pathlib.Path(__file__).resolve().parent.parent
MEASUREMENTS_PATH = ROOT / "docs" / "capacity.yaml"

NODES = 480
REPLICAS = 2_300
QUERIES_PER_S = 72_000
LEGS_PER_QUERY = 840
FAILURE_DOMAINS = 7
# The owner of a shard, and the one in whose place it may stand.
CONNECTED_NODES_PER_DOMAIN = 2
CONNECTION_LIMIT = 25
CHANGES_PER_DAY = 430
RESTARTS_PER_DAY = 640
FAILURES_PER_DAY = 11
SECONDS_PER_DAY = 86_400
MAX_PROPAGATION_S = 10.0
MAX_REJOIN_S = 20.0
MAX_CPU_MS_PER_S = 14.0
MAX_MEMORY_MB = 128.0
MAX_BYTES_PER_S = 7_000.0
MAX_STORE_READS_PER_S = 2_000.0
LEGS_PER_CALL = 10
HEALTH_POLL_INTERVAL_S = 2.0
VM_LIST_POLL_INTERVAL_S = 1.0
MAX_P99_MS = 260.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Measurement:
    """One measured figure.

    :param value: The figure.
    :param unit: Its unit.
    :param command: The command that measured it.
    """

    value: float
    unit: str
    command: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Estimate:
    """What one thing needs at the design size, against what it may.

    :param name: What it is.
    :param need: What it needs.
    :param limit: What it may need.
    :param unit: Unit of both.
    :param working: How the need was worked out.
    """

    name: str
    demand: float
    limit: float
    unit: str
    derivation: str

    @property
    def assessment(self) -> str:
        """Whether it fits, and by which factor it misses."""
        if self.demand <= self.limit:
            return "fits"
        return f"misses by {self.demand / self.limit:.1f}"


def load_measurements() -> dict[str, Measurement]:
    """Read the slopes.

    :returns: The slopes, by name.
    """
    return msgspec.yaml.decode(
        MEASUREMENTS_PATH.read_bytes(), type=dict[str, Measurement]
    )


def list_estimates(measurements: dict[str, Measurement]) -> list[Estimate]:
    """Work out what the design size needs.

    :param slopes: The slopes.
    :returns: The needs, control first.
    """
    measured = {
        name: measurement.value for name, measurement in measurements.items()
    }
    return [
        *list_control_estimates(measured),
        *list_store_estimates(measured),
        *list_serving_estimates(measured),
    ]


def list_control_estimates(measured: dict[str, float]) -> list[Estimate]:
    """Work out what control costs a node.

    :param of: The slopes' values.
    :returns: The needs.
    """
    polls_per_s = REPLICAS / HEALTH_POLL_INTERVAL_S
    list_reads_per_s = 1 / VM_LIST_POLL_INTERVAL_S
    sockets_ms = measured["peer_messages_s"] * 2 * measured["socket_ms"]
    peers_ms = measured["peer_cpu_ms_s"] + sockets_ms
    list_reads_ms = list_reads_per_s * measured["list_ms"]
    polls_ms = polls_per_s * measured["poll_us"] / 1000
    return [
        Estimate(
            name="control in all: processor time",
            demand=peers_ms + list_reads_ms + polls_ms,
            limit=MAX_CPU_MS_PER_S,
            unit="ms/s",
            derivation="peers, list of VMs and health polls below",
        ),
        Estimate(
            name="peers: processor time",
            demand=peers_ms,
            limit=MAX_CPU_MS_PER_S,
            unit="ms/s",
            derivation="core of the loop at 480 nodes, and a socket call for "
            "each message sent and received",
        ),
        Estimate(
            name="peers: bytes in the worst phase",
            demand=measured["peer_worst_bytes_s"],
            limit=MAX_BYTES_PER_S,
            unit="B/s",
            derivation="sent while domains are cut, replaced and healed",
        ),
        Estimate(
            name="peers: bytes",
            demand=measured["peer_bytes_s"],
            limit=MAX_BYTES_PER_S,
            unit="B/s",
            derivation="sent in the steady state at 480 nodes",
        ),
        Estimate(
            name="configuration in force everywhere",
            demand=measured["change_s"],
            limit=MAX_PROPAGATION_S,
            unit="s",
            derivation="worst of the loop at 480 nodes, 1 in 100 lost",
        ),
        Estimate(
            name="the same after a region's cut, from healing",
            demand=measured["healed_s"],
            limit=MAX_PROPAGATION_S,
            unit="s",
            derivation="the loop at 480 nodes",
        ),
        Estimate(
            name="peers known alive again after a region's cut",
            demand=measured["rejoined_s"],
            limit=MAX_REJOIN_S,
            unit="s",
            derivation="the loop at 480 nodes; the bound is our own",
        ),
        Estimate(
            name="changes a day: processor time",
            demand=CHANGES_PER_DAY
            / SECONDS_PER_DAY
            * measured["change_cpu_ms"],
            limit=MAX_CPU_MS_PER_S,
            unit="ms/s",
            derivation=f"{CHANGES_PER_DAY} a day, each decoded and pushed",
        ),
        Estimate(
            name="list of VMs: processor time",
            demand=list_reads_ms,
            limit=MAX_CPU_MS_PER_S,
            unit="ms/s",
            derivation=f"read whole each {VM_LIST_POLL_INTERVAL_S:g} s, "
            "without parsing",
        ),
        Estimate(
            name="list of VMs: bytes",
            demand=list_reads_per_s * measured["list_kb"] * 1000,
            limit=MAX_BYTES_PER_S,
            unit="B/s",
            derivation=f"read whole each {VM_LIST_POLL_INTERVAL_S:g} s",
        ),
        Estimate(
            name="health polls: processor time",
            demand=polls_ms,
            limit=MAX_CPU_MS_PER_S,
            unit="ms/s",
            derivation=f"{REPLICAS} replicas each "
            f"{HEALTH_POLL_INTERVAL_S:g} s",
        ),
        Estimate(
            name="health polls: bytes",
            demand=polls_per_s * measured["poll_bytes"],
            limit=MAX_BYTES_PER_S,
            unit="B/s",
            derivation="the same, request and answer",
        ),
        Estimate(
            name="memory of a daemon",
            demand=measured["daemon_mb"] + measured["core_mb"],
            limit=MAX_MEMORY_MB,
            unit="MB",
            derivation="a daemon of today's size, and the core's state at 480 "
            "nodes and 2,300 replicas",
        ),
    ]


def list_store_estimates(measured: dict[str, float]) -> list[Estimate]:
    """Work out what the platform's store must take.

    :param of: The slopes' values.
    :returns: The needs.
    """
    return [
        Estimate(
            name="store: calls, waiting watches with them",
            demand=measured["store_calls_s"] + measured["store_watches"],
            limit=MAX_STORE_READS_PER_S,
            unit="a second",
            derivation="the loop at 480 nodes, steady",
        ),
        Estimate(
            name="store: calls in the second after an outage",
            demand=measured["store_peak"],
            limit=MAX_STORE_READS_PER_S,
            unit="a second",
            derivation="the loop at 480 nodes",
        ),
        Estimate(
            name="store: calls in a second of a fleet's start",
            demand=measured["store_start_peak"],
            limit=MAX_STORE_READS_PER_S,
            unit="a second",
            derivation="the loop, 480 nodes started at once",
        ),
    ]


def list_serving_estimates(measured: dict[str, float]) -> list[Estimate]:
    """Work out what serving costs.

    :param of: The slopes' values.
    :returns: The needs.
    """
    legs_per_s = QUERIES_PER_S * LEGS_PER_QUERY
    node_legs_per_s = legs_per_s / NODES
    batched_us = measured["core_leg_us"] + measured["batched_leg_us"]
    return [
        Estimate(
            name="legs: processor time of a node",
            demand=node_legs_per_s * measured["daemon_leg_us"] / 1e6,
            limit=1.0,
            unit="cores",
            derivation=f"{node_legs_per_s:,.0f} legs a second, one call each",
        ),
        Estimate(
            name=f"the same, {LEGS_PER_CALL} legs a call",
            demand=node_legs_per_s * batched_us / 1e6,
            limit=1.0,
            unit="cores",
            derivation="core and a tenth of a call",
        ),
        Estimate(
            name="nodes with a connection to each replica",
            demand=NODES,
            limit=CONNECTION_LIMIT,
            unit="connections",
            derivation=f"a replica accepts {CONNECTION_LIMIT}",
        ),
        Estimate(
            name="the same with owners of shards, on the platform",
            demand=CONNECTED_NODES_PER_DOMAIN * FAILURE_DOMAINS,
            limit=CONNECTION_LIMIT,
            unit="connections",
            derivation=f"{CONNECTED_NODES_PER_DOMAIN} nodes a domain connect "
            "to a shard's replicas",
        ),
        Estimate(
            name="queries left to owners: the core of the node asked",
            demand=QUERIES_PER_S / NODES * measured["divided_query_ms"] / 1e3,
            limit=1.0,
            unit="cores",
            derivation=f"{QUERIES_PER_S / NODES:.0f} queries a second, "
            "one call an owner",
        ),
        Estimate(
            name="the same: the core of the owners",
            demand=node_legs_per_s * measured["routed_leg_us"] / 1e6,
            limit=1.0,
            unit="cores",
            derivation=f"{node_legs_per_s:,.0f} legs a second, "
            "without sockets",
        ),
        Estimate(
            name="replicas a node may own, a connection each",
            demand=REPLICAS * CONNECTION_LIMIT / NODES,
            limit=REPLICAS,
            unit="replicas",
            derivation="connections of all replicas, divided by nodes",
        ),
        Estimate(
            name="answer at the 99th in 100",
            demand=measured["wide_p99_ms"],
            limit=MAX_P99_MS,
            unit="ms",
            derivation="make bench, wide: 840 services, virtual time, without "
            "the entry node's own processor time",
        ),
    ]


def format_estimates(estimates: list[Estimate]) -> str:
    """Make the table of needs.

    :param needs: The needs.
    :returns: Markdown.
    """
    rows = [
        "| what | need | limit | unit | verdict | worked out from |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for estimate in estimates:
        rows.append(
            f"| {estimate.name} | {estimate.demand:,.4g} | "
            f"{estimate.limit:,.4g} | {estimate.unit} | "
            f"{estimate.assessment} | {estimate.derivation} |"
        )
    return "\n".join(rows)


def format_measurements(measurements: dict[str, Measurement]) -> str:
    """Make the table of slopes.

    :param slopes: The slopes.
    :returns: Markdown.
    """
    rows = ["| slope | value | unit | command |", "| --- | --- | --- | --- |"]
    for name, measurement in measurements.items():
        rows.append(
            f"| {name} | {measurement.value:g} | {measurement.unit} | "
            f"`{measurement.command}` |"
        )
    return "\n".join(rows)


def format_role_figures(measured: dict[str, float]) -> dict[str, str]:
    """Word the figures of the table of roles.

    :param of: The slopes' values.
    :returns: The words, by their names in the template.
    """
    node_legs_per_s = QUERIES_PER_S * LEGS_PER_QUERY / NODES
    polls_ms = REPLICAS / HEALTH_POLL_INTERVAL_S * measured["poll_us"] / 1000
    return {
        "leg_cores": (
            f"{node_legs_per_s * measured['daemon_leg_us'] / 1e6:.0f}"
        ),
        "daemon_mb": f"{measured['daemon_mb']:.0f}",
        "messages": f"{measured['peer_messages_s']:.1f}",
        "peer_bytes": f"{measured['peer_bytes_s']:,.0f}",
        "peers_ms": f"{measured['peer_cpu_ms_s']:.1f}",
        "lists_ms": f"{measured['list_ms'] / VM_LIST_POLL_INTERVAL_S:.0f}",
        "polls_ms": f"{polls_ms:,.0f}",
        "core_mb": f"{measured['core_mb']:.2f}",
        "store_calls": f"{measured['store_calls_s']:.1f}",
        "watches": f"{measured['store_watches']:.0f}",
    }


def build_page() -> str:
    """Make the page.

    :returns: Markdown.
    """
    measurements = load_measurements()
    template = (ROOT / "docs" / "capacity.template.md").read_text(
        encoding="utf-8"
    )
    measured = {
        name: measurement.value for name, measurement in measurements.items()
    }
    values: dict[str, Any] = {
        **format_role_figures(measured),
        "needs": format_estimates(list_estimates(measurements)),
        "slopes": format_measurements(measurements),
        "legs": f"{QUERIES_PER_S * LEGS_PER_QUERY:,}",
        "replica_legs": f"{QUERIES_PER_S * LEGS_PER_QUERY / REPLICAS:,.0f}",
        "node_legs": f"{QUERIES_PER_S * LEGS_PER_QUERY / NODES:,.0f}",
        "owned": f"{REPLICAS * CONNECTION_LIMIT / NODES:.0f}",
        "owners": f"{CONNECTION_LIMIT}",
        "domain_nodes": f"{NODES / FAILURE_DOMAINS:.0f}",
        "restart_gap": f"{SECONDS_PER_DAY / RESTARTS_PER_DAY:.0f}",
        "failure_gap": f"{24 / FAILURES_PER_DAY:.1f}",
    }
    for name, value in values.items():
        template = template.replace("{" + name + "}", value)
    return template


if __name__ == "__main__":
    sys.stdout.write(build_page())
