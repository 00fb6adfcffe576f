"""Prints docs/CAPACITY.md from the slopes in docs/capacity.yaml."""

import dataclasses
import pathlib
import sys
from typing import Any

import msgspec

ROOT = pathlib.Path(__file__).resolve().parent.parent
SLOPES = ROOT / "docs" / "capacity.yaml"

NODES = 480
REPLICAS = 2_300
QUERIES_S = 72_000
LEGS_A_QUERY = 840
DOMAINS = 7
# The owner of a shard, and the one in whose place it may stand.
CONNECTED_NODES = 2
CONNECTION_LIMIT = 25
CHANGES_A_DAY = 430
RESTARTS_A_DAY = 640
FAILURES_A_DAY = 11
SECONDS_A_DAY = 86_400
IN_FORCE_S = 10.0
REJOIN_S = 20.0
BUDGET_CPU_MS_S = 14.0
BUDGET_MEMORY_MB = 128.0
BUDGET_BYTES_S = 7_000.0
STORE_READS_S = 2_000.0
LEGS_A_CALL = 10
HEALTH_POLL_S = 2.0
VM_LIST_POLL_S = 1.0
P99_MS = 260.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Slope:
    """One measured figure.

    :param value: The figure.
    :param unit: Its unit.
    :param command: The command that measured it.
    """

    value: float
    unit: str
    command: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Need:
    """What one thing needs at the design size, against what it may.

    :param name: What it is.
    :param need: What it needs.
    :param limit: What it may need.
    :param unit: Unit of both.
    :param working: How the need was worked out.
    """

    name: str
    need: float
    limit: float
    unit: str
    working: str

    @property
    def verdict(self) -> str:
        """Whether it fits, and by which factor it misses."""
        if self.need <= self.limit:
            return "fits"
        return f"misses by {self.need / self.limit:.1f}"


def load_slopes() -> dict[str, Slope]:
    """Read the slopes.

    :returns: The slopes, by name.
    """
    return msgspec.yaml.decode(SLOPES.read_bytes(), type=dict[str, Slope])


def list_needs(slopes: dict[str, Slope]) -> list[Need]:
    """Work out what the design size needs.

    :param slopes: The slopes.
    :returns: The needs, control first.
    """
    of = {name: slope.value for name, slope in slopes.items()}
    return [
        *list_control_needs(of),
        *list_store_needs(of),
        *list_serving_needs(of),
    ]


def list_control_needs(of: dict[str, float]) -> list[Need]:
    """Work out what control costs a node.

    :param of: The slopes' values.
    :returns: The needs.
    """
    polls_s = REPLICAS / HEALTH_POLL_S
    lists_s = 1 / VM_LIST_POLL_S
    sockets_ms = of["peer_messages_s"] * 2 * of["socket_ms"]
    peers_ms = of["peer_cpu_ms_s"] + sockets_ms
    lists_ms = lists_s * of["list_ms"]
    polls_ms = polls_s * of["poll_us"] / 1000
    return [
        Need(
            name="control in all: processor time",
            need=peers_ms + lists_ms + polls_ms,
            limit=BUDGET_CPU_MS_S,
            unit="ms/s",
            working="peers, list of VMs and health polls below",
        ),
        Need(
            name="peers: processor time",
            need=peers_ms,
            limit=BUDGET_CPU_MS_S,
            unit="ms/s",
            working="core of the loop at 480 nodes, and a socket call for "
            "each message sent and received",
        ),
        Need(
            name="peers: bytes in the worst phase",
            need=of["peer_worst_bytes_s"],
            limit=BUDGET_BYTES_S,
            unit="B/s",
            working="sent while domains are cut, replaced and healed",
        ),
        Need(
            name="peers: bytes",
            need=of["peer_bytes_s"],
            limit=BUDGET_BYTES_S,
            unit="B/s",
            working="sent in the steady state at 480 nodes",
        ),
        Need(
            name="configuration in force everywhere",
            need=of["change_s"],
            limit=IN_FORCE_S,
            unit="s",
            working="worst of the loop at 480 nodes, 1 in 100 lost",
        ),
        Need(
            name="the same after a region's cut, from healing",
            need=of["healed_s"],
            limit=IN_FORCE_S,
            unit="s",
            working="the loop at 480 nodes",
        ),
        Need(
            name="peers known alive again after a region's cut",
            need=of["rejoined_s"],
            limit=REJOIN_S,
            unit="s",
            working="the loop at 480 nodes; the bound is our own",
        ),
        Need(
            name="changes a day: processor time",
            need=CHANGES_A_DAY / SECONDS_A_DAY * of["change_cpu_ms"],
            limit=BUDGET_CPU_MS_S,
            unit="ms/s",
            working=f"{CHANGES_A_DAY} a day, each decoded and pushed",
        ),
        Need(
            name="list of VMs: processor time",
            need=lists_ms,
            limit=BUDGET_CPU_MS_S,
            unit="ms/s",
            working=f"read whole each {VM_LIST_POLL_S:g} s, without parsing",
        ),
        Need(
            name="list of VMs: bytes",
            need=lists_s * of["list_kb"] * 1000,
            limit=BUDGET_BYTES_S,
            unit="B/s",
            working=f"read whole each {VM_LIST_POLL_S:g} s",
        ),
        Need(
            name="health polls: processor time",
            need=polls_ms,
            limit=BUDGET_CPU_MS_S,
            unit="ms/s",
            working=f"{REPLICAS} replicas each {HEALTH_POLL_S:g} s",
        ),
        Need(
            name="health polls: bytes",
            need=polls_s * of["poll_bytes"],
            limit=BUDGET_BYTES_S,
            unit="B/s",
            working="the same, request and answer",
        ),
        Need(
            name="memory of a daemon",
            need=of["daemon_mb"] + of["core_mb"],
            limit=BUDGET_MEMORY_MB,
            unit="MB",
            working="a daemon of today's size, and the core's state at 480 "
            "nodes and 2,300 replicas",
        ),
    ]


def list_store_needs(of: dict[str, float]) -> list[Need]:
    """Work out what the platform's store must take.

    :param of: The slopes' values.
    :returns: The needs.
    """
    return [
        Need(
            name="store: calls, waiting watches with them",
            need=of["store_calls_s"] + of["store_watches"],
            limit=STORE_READS_S,
            unit="a second",
            working="the loop at 480 nodes, steady",
        ),
        Need(
            name="store: calls in the second after an outage",
            need=of["store_peak"],
            limit=STORE_READS_S,
            unit="a second",
            working="the loop at 480 nodes",
        ),
        Need(
            name="store: calls in a second of a fleet's start",
            need=of["store_start_peak"],
            limit=STORE_READS_S,
            unit="a second",
            working="the loop, 480 nodes started at once",
        ),
    ]


def list_serving_needs(of: dict[str, float]) -> list[Need]:
    """Work out what serving costs.

    :param of: The slopes' values.
    :returns: The needs.
    """
    legs_s = QUERIES_S * LEGS_A_QUERY
    node_legs_s = legs_s / NODES
    compounded_us = of["core_leg_us"] + of["batched_leg_us"]
    return [
        Need(
            name="legs: processor time of a node",
            need=node_legs_s * of["daemon_leg_us"] / 1e6,
            limit=1.0,
            unit="cores",
            working=f"{node_legs_s:,.0f} legs a second, one call each",
        ),
        Need(
            name=f"the same, {LEGS_A_CALL} legs a call",
            need=node_legs_s * compounded_us / 1e6,
            limit=1.0,
            unit="cores",
            working="core and a tenth of a call",
        ),
        Need(
            name="nodes with a connection to each replica",
            need=NODES,
            limit=CONNECTION_LIMIT,
            unit="connections",
            working=f"a replica accepts {CONNECTION_LIMIT}",
        ),
        Need(
            name="the same with owners of shards, on the platform",
            need=CONNECTED_NODES * DOMAINS,
            limit=CONNECTION_LIMIT,
            unit="connections",
            working=f"{CONNECTED_NODES} nodes a domain connect to a shard's "
            "replicas",
        ),
        Need(
            name="queries left to owners: the core of the node asked",
            need=QUERIES_S / NODES * of["divided_query_ms"] / 1e3,
            limit=1.0,
            unit="cores",
            working=f"{QUERIES_S / NODES:.0f} queries a second, "
            "one call an owner",
        ),
        Need(
            name="the same: the core of the owners",
            need=node_legs_s * of["routed_leg_us"] / 1e6,
            limit=1.0,
            unit="cores",
            working=f"{node_legs_s:,.0f} legs a second, without sockets",
        ),
        Need(
            name="replicas a node may own, a connection each",
            need=REPLICAS * CONNECTION_LIMIT / NODES,
            limit=REPLICAS,
            unit="replicas",
            working="connections of all replicas, divided by nodes",
        ),
        Need(
            name="answer at the 99th in 100",
            need=of["wide_p99_ms"],
            limit=P99_MS,
            unit="ms",
            working="make bench, wide: 840 services, virtual time, without "
            "the entry node's own processor time",
        ),
    ]


def print_needs(needs: list[Need]) -> str:
    """Make the table of needs.

    :param needs: The needs.
    :returns: Markdown.
    """
    rows = [
        "| what | need | limit | unit | verdict | worked out from |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for need in needs:
        rows.append(
            f"| {need.name} | {need.need:,.4g} | {need.limit:,.4g} | "
            f"{need.unit} | {need.verdict} | {need.working} |"
        )
    return "\n".join(rows)


def print_slopes(slopes: dict[str, Slope]) -> str:
    """Make the table of slopes.

    :param slopes: The slopes.
    :returns: Markdown.
    """
    rows = ["| slope | value | unit | command |", "| --- | --- | --- | --- |"]
    for name, slope in slopes.items():
        rows.append(
            f"| {name} | {slope.value:g} | {slope.unit} | `{slope.command}` |"
        )
    return "\n".join(rows)


def describe_roles(of: dict[str, float]) -> dict[str, str]:
    """Word the figures of the table of roles.

    :param of: The slopes' values.
    :returns: The words, by their names in the template.
    """
    node_legs_s = QUERIES_S * LEGS_A_QUERY / NODES
    polls_ms = REPLICAS / HEALTH_POLL_S * of["poll_us"] / 1000
    return {
        "leg_cores": f"{node_legs_s * of['daemon_leg_us'] / 1e6:.0f}",
        "daemon_mb": f"{of['daemon_mb']:.0f}",
        "messages": f"{of['peer_messages_s']:.1f}",
        "peer_bytes": f"{of['peer_bytes_s']:,.0f}",
        "peers_ms": f"{of['peer_cpu_ms_s']:.1f}",
        "lists_ms": f"{of['list_ms'] / VM_LIST_POLL_S:.0f}",
        "polls_ms": f"{polls_ms:,.0f}",
        "core_mb": f"{of['core_mb']:.2f}",
        "store_calls": f"{of['store_calls_s']:.1f}",
        "watches": f"{of['store_watches']:.0f}",
    }


def print_page() -> str:
    """Make the page.

    :returns: Markdown.
    """
    slopes = load_slopes()
    template = (ROOT / "docs" / "capacity.template.md").read_text(
        encoding="utf-8"
    )
    of = {name: slope.value for name, slope in slopes.items()}
    values: dict[str, Any] = {
        **describe_roles(of),
        "needs": print_needs(list_needs(slopes)),
        "slopes": print_slopes(slopes),
        "legs": f"{QUERIES_S * LEGS_A_QUERY:,}",
        "replica_legs": f"{QUERIES_S * LEGS_A_QUERY / REPLICAS:,.0f}",
        "node_legs": f"{QUERIES_S * LEGS_A_QUERY / NODES:,.0f}",
        "owned": f"{REPLICAS * CONNECTION_LIMIT / NODES:.0f}",
        "owners": f"{CONNECTION_LIMIT}",
        "domain_nodes": f"{NODES / DOMAINS:.0f}",
        "restart_gap": f"{SECONDS_A_DAY / RESTARTS_A_DAY:.0f}",
        "failure_gap": f"{24 / FAILURES_A_DAY:.1f}",
    }
    for name, value in values.items():
        template = template.replace("{" + name + "}", value)
    return template


if __name__ == "__main__":
    sys.stdout.write(print_page())
