"""Prints docs/CAPACITY.md: capacity estimates at the design size.

The estimates scale the measurements in docs/capacity.yaml to the design size
and compare them with the stated limits. The text comes from
docs/capacity.template.md.
"""

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
# The owner of a shard, and the node that replaces it if it fails.
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
    """One measured value.

    :param value: The value, in ``unit``.
    :param unit: Unit of the value, as printed.
    :param command: The command that measured it.
    """

    value: float
    unit: str
    command: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Estimate:
    """Estimated demand for one resource at the design size, with its limit.

    :param name: The resource.
    :param demand: Estimated demand, in ``unit``.
    :param limit: Greatest demand that is allowed, in ``unit``.
    :param unit: Unit of demand and limit, as printed.
    :param derivation: How the demand follows from the measurements.
    """

    name: str
    demand: float
    limit: float
    unit: str
    derivation: str

    @property
    def assessment(self) -> str:
        """Whether the demand fits the limit, or by which factor not."""
        if self.demand <= self.limit:
            return "fits"
        return f"misses by a factor of {self.demand / self.limit:.1f}"


def load_measurements() -> dict[str, Measurement]:
    """Load docs/capacity.yaml.

    :returns: The measurements by name.
    :raises OSError: If the file can't be read.
    :raises msgspec.MsgspecError: If it is not of the expected form.
    """
    return msgspec.yaml.decode(
        MEASUREMENTS_PATH.read_bytes(), type=dict[str, Measurement]
    )


def list_estimates(measurements: dict[str, Measurement]) -> list[Estimate]:
    """Estimate the demand at the design size.

    :param measurements: The measurements by name.
    :returns: The estimates: control plane, store, then serving.
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
    """Estimate what the control plane costs each node.

    :param measured: Measured values by name.
    :returns: The estimates.
    """
    polls_per_s = REPLICAS / HEALTH_POLL_INTERVAL_S
    list_reads_per_s = 1 / VM_LIST_POLL_INTERVAL_S
    sockets_ms = measured["peer_messages_s"] * 2 * measured["socket_ms"]
    peers_ms = measured["peer_cpu_ms_s"] + sockets_ms
    list_reads_ms = list_reads_per_s * measured["list_ms"]
    polls_ms = polls_per_s * measured["poll_us"] / 1000
    return [
        Estimate(
            name="control plane, total: processor time",
            demand=peers_ms + list_reads_ms + polls_ms,
            limit=MAX_CPU_MS_PER_S,
            unit="ms/s",
            derivation="sum of peers, VM list and health polls below",
        ),
        Estimate(
            name="peers: processor time",
            demand=peers_ms,
            limit=MAX_CPU_MS_PER_S,
            unit="ms/s",
            derivation="core in the simulation of 480 nodes, and a socket "
            "call for each message sent and received",
        ),
        Estimate(
            name="peers: bytes sent in the worst phase",
            demand=measured["peer_worst_bytes_s"],
            limit=MAX_BYTES_PER_S,
            unit="B/s",
            derivation="while failure domains are cut off, replaced and "
            "reconnected",
        ),
        Estimate(
            name="peers: bytes sent",
            demand=measured["peer_bytes_s"],
            limit=MAX_BYTES_PER_S,
            unit="B/s",
            derivation="simulation of 480 nodes, steady state",
        ),
        Estimate(
            name="propagation of a configuration change to all nodes",
            demand=measured["change_s"],
            limit=MAX_PROPAGATION_S,
            unit="s",
            derivation="worst case in the simulation of 480 nodes, "
            "1 message in 100 lost",
        ),
        Estimate(
            name="the same, from the end of a region's network partition",
            demand=measured["healed_s"],
            limit=MAX_PROPAGATION_S,
            unit="s",
            derivation="simulation of 480 nodes",
        ),
        Estimate(
            name="all peers seen alive again after a region's partition",
            demand=measured["rejoined_s"],
            limit=MAX_REJOIN_S,
            unit="s",
            derivation="simulation of 480 nodes; the limit is not a "
            "requirement but set by this project",
        ),
        Estimate(
            name="configuration changes: processor time",
            demand=CHANGES_PER_DAY
            / SECONDS_PER_DAY
            * measured["change_cpu_ms"],
            limit=MAX_CPU_MS_PER_S,
            unit="ms/s",
            derivation=f"{CHANGES_PER_DAY} a day, each decoded and pushed",
        ),
        Estimate(
            name="VM list: processor time",
            demand=list_reads_ms,
            limit=MAX_CPU_MS_PER_S,
            unit="ms/s",
            derivation=f"read in full every {VM_LIST_POLL_INTERVAL_S:g} s, "
            "without parsing",
        ),
        Estimate(
            name="VM list: bytes received",
            demand=list_reads_per_s * measured["list_kb"] * 1000,
            limit=MAX_BYTES_PER_S,
            unit="B/s",
            derivation=f"read in full every {VM_LIST_POLL_INTERVAL_S:g} s",
        ),
        Estimate(
            name="health polls: processor time",
            demand=polls_ms,
            limit=MAX_CPU_MS_PER_S,
            unit="ms/s",
            derivation=f"{REPLICAS} replicas every "
            f"{HEALTH_POLL_INTERVAL_S:g} s",
        ),
        Estimate(
            name="health polls: bytes",
            demand=polls_per_s * measured["poll_bytes"],
            limit=MAX_BYTES_PER_S,
            unit="B/s",
            derivation="the same; request and response",
        ),
        Estimate(
            name="memory of a daemon",
            demand=measured["daemon_mb"] + measured["core_mb"],
            limit=MAX_MEMORY_MB,
            unit="MB",
            derivation="a daemon at its present size, and the core's state "
            "for 480 nodes and 2,300 replicas",
        ),
    ]


def list_store_estimates(measured: dict[str, float]) -> list[Estimate]:
    """Estimate the load on the platform's store.

    :param measured: Measured values by name.
    :returns: The estimates.
    """
    return [
        Estimate(
            name="store: calls, including waiting watches",
            demand=measured["store_calls_s"] + measured["store_watches"],
            limit=MAX_STORE_READS_PER_S,
            unit="a second",
            derivation="simulation of 480 nodes, steady state",
        ),
        Estimate(
            name="store: calls in the second after its outage",
            demand=measured["store_peak"],
            limit=MAX_STORE_READS_PER_S,
            unit="a second",
            derivation="simulation of 480 nodes",
        ),
        Estimate(
            name="store: peak calls at the start of a fleet",
            demand=measured["store_start_peak"],
            limit=MAX_STORE_READS_PER_S,
            unit="a second",
            derivation="simulation of 480 nodes started at once",
        ),
    ]


def list_serving_estimates(measured: dict[str, float]) -> list[Estimate]:
    """Estimate the cost of serving queries.

    :param measured: Measured values by name.
    :returns: The estimates.
    """
    legs_per_s = QUERIES_PER_S * LEGS_PER_QUERY
    node_legs_per_s = legs_per_s / NODES
    batched_us = measured["core_leg_us"] + measured["batched_leg_us"]
    return [
        Estimate(
            name="legs: processor time per node",
            demand=node_legs_per_s * measured["daemon_leg_us"] / 1e6,
            limit=1.0,
            unit="cores",
            derivation=f"{node_legs_per_s:,.0f} legs a second, "
            "one call per leg",
        ),
        Estimate(
            name=f"the same, {LEGS_PER_CALL} legs per call",
            demand=node_legs_per_s * batched_us / 1e6,
            limit=1.0,
            unit="cores",
            derivation="core, and a tenth of the cost of a call",
        ),
        Estimate(
            name="nodes with a connection to each replica",
            demand=NODES,
            limit=CONNECTION_LIMIT,
            unit="connections",
            derivation=f"a replica accepts {CONNECTION_LIMIT} connections",
        ),
        Estimate(
            name="the same on the platform, where owners of shards connect",
            demand=CONNECTED_NODES_PER_DOMAIN * FAILURE_DOMAINS,
            limit=CONNECTION_LIMIT,
            unit="connections",
            derivation=f"{CONNECTED_NODES_PER_DOMAIN} nodes per domain "
            "connect to a shard's replicas",
        ),
        Estimate(
            name="queries delegated to owners: core's time, entry node",
            demand=QUERIES_PER_S / NODES * measured["divided_query_ms"] / 1e3,
            limit=1.0,
            unit="cores",
            derivation=f"{QUERIES_PER_S / NODES:.0f} queries a second, "
            "one call per owner",
        ),
        Estimate(
            name="the same: core's time, owners",
            demand=node_legs_per_s * measured["routed_leg_us"] / 1e6,
            limit=1.0,
            unit="cores",
            derivation=f"{node_legs_per_s:,.0f} legs a second, "
            "without sockets",
        ),
        Estimate(
            name="replicas a node can own, with a connection each",
            demand=REPLICAS * CONNECTION_LIMIT / NODES,
            limit=REPLICAS,
            unit="replicas",
            derivation="connections of all replicas, divided by the nodes",
        ),
        Estimate(
            name="99th percentile of query latency",
            demand=measured["wide_p99_ms"],
            limit=MAX_P99_MS,
            unit="ms",
            derivation="make bench, wide: 840 services, virtual time, without "
            "the entry node's own processor time",
        ),
    ]


def format_estimates(estimates: list[Estimate]) -> str:
    """Format the table of estimates.

    :param estimates: The estimates.
    :returns: A Markdown table.
    """
    rows = [
        "| resource | demand | limit | unit | result | derivation |",
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
    """Format the table of measurements.

    :param measurements: The measurements by name.
    :returns: A Markdown table.
    """
    rows = [
        "| measurement | value | unit | command |",
        "| --- | --- | --- | --- |",
    ]
    for name, measurement in measurements.items():
        rows.append(
            f"| {name} | {measurement.value:g} | {measurement.unit} | "
            f"`{measurement.command}` |"
        )
    return "\n".join(rows)


def format_role_figures(measured: dict[str, float]) -> dict[str, str]:
    """Format the figures of the template's table of roles.

    :param measured: Measured values by name.
    :returns: The formatted figures by the template's placeholders.
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
    """Build the page.

    :returns: Markdown text.
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
