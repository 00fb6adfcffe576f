"""Simulates nodes, the platform's VM list and one backend server.

Time is virtual.
"""

import dataclasses
import random

from bluebellbay.coordination.core import Core
from bluebellbay.coordination.fleet.membership import MembershipPart
from bluebellbay.coordination.fleet.share import SharePart
from bluebellbay.coordination.part import Part
from bluebellbay.coordination.servers.server import ServerPart
from bluebellbay.protocol.command import ReadVmList
from bluebellbay.protocol.command import SendPeerMessage
from bluebellbay.protocol.command import SetConnectionShare
from bluebellbay.protocol.event import ConnectionShareApplied
from bluebellbay.protocol.event import PeerMessageReceived
from bluebellbay.protocol.event import SharesClosed
from bluebellbay.protocol.event import SharesReleased
from bluebellbay.protocol.event import VmListRead
from bluebellbay.protocol.peer import PeerEnvelope
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.vm import VmEntry
from bluebellbay.protocol.vm import VmList
from bluebellbay.protocol.vm import VmRole
from bluebellbay.settings import parse_settings

CONNECTION_LIMIT = 25
LINGER_S = 15.0
MAX_LIST_LAG_S = 5.0
MESSAGE_DELAY_S = 0.01
TIME_STEP_S = 0.05


class SharesClosedRecorder(Part):
    """Records that the node has closed its connections."""

    @property
    def event_types(self):
        return (SharesClosed,)

    def step(self, event, now):
        self.state.closed = True
        return ()


def make_settings(name, configured):
    return parse_settings(
        {
            "node": {
                "name": name,
                "failure_domain": "fd-1",
                "listen": "127.0.0.1:1",
                "peer_listen": "127.0.0.1:1",
            },
            "platform": {
                "store": "http://127.0.0.1:1",
                "vm_list": "http://127.0.0.1:1",
            },
            "indexes": [{"name": "ink", "connection_limit": CONNECTION_LIMIT}],
            "peers": [
                {
                    "name": peer,
                    "failure_domain": "fd-1",
                    "address": "127.0.0.1:1",
                    "peer_address": "127.0.0.1:1",
                }
                for peer in configured
            ],
            "fleet": {"connection_linger_s": LINGER_S},
        }
    ).ok


@dataclasses.dataclass(kw_only=True)
class Node:
    """One process and its connections to the backend server.

    :param name: Name of its VM.
    :param core: Its decision core.
    :param open_connections: Connections that are open.
    :param limit: Connections that it may have open; more stay open while
        they are in use.
    :param frozen: Whether it is suspended: it handles nothing, but keeps
        its connections.
    :param sequence: Messages sent so far.
    """

    name: str
    core: Core
    open_connections: int = 0
    limit: int = 0
    frozen: bool = False
    sequence: int = 0


class ShareSimulation:
    """Delivers messages and VM lists to nodes and counts connections.

    :param configured: Names of the VMs in the settings of each node.
    :param seed: Seed of the message loss.
    :param loss_ratio: Fraction of the messages that are lost.
    :ivar max_open: Most connections open at the server at any time.
    :ivar cut_links: Pairs of sender and receiver that are cut off; ``list``
        as the receiver stands for the platform's VM list.
    :ivar lingering_connections: Connections of lost VMs: their number and
        the time at which they end.
    :ivar closes_excess: Whether connections beyond a node's share close;
        if not, they stay in use.
    :ivar list_lags_s: Lag of the VM list in seconds, by name of the node
        that reads it, where it differs from the others.
    """

    def __init__(self, *, configured, seed, loss_ratio=0.0):
        self.configured = configured
        self.now = 1000.0
        self.max_open = 0
        self.nodes = {}
        self.cut_links = set()
        self.unlisted = set()
        self.lost_at = {}
        self.lingering_connections = []
        self.closes_excess = True
        self._rng = random.Random(seed)  # noqa: S311
        self._loss_ratio = loss_ratio
        self.list_lags_s = {}
        self._list_lag_s = 0.0
        self._start_count = 0
        self._deliveries = []
        self._list_versions = [(0.0, VmList(sequence=1, vms=()))]
        self._publish_list((self._make_entry("s", VmRole.BACKEND),))

    def start(self, name, configured=None):
        """Start a process on a VM and add the VM to the list.

        A VM that runs already, or was lost less than ``LINGER_S`` ago, is
        left as it is.

        :param name: Name of the VM.
        :param configured: Names of the VMs in its settings, if they differ
            from those of the other nodes.
        """
        lost_for_s = self.now - self.lost_at.get(name, -LINGER_S)
        if name in self.nodes or lost_for_s < LINGER_S:
            return
        self._start_count += 1
        core = Core(
            settings=make_settings(name, configured or self.configured),
            rng=random.Random(self._start_count),  # noqa: S311
            parts=(
                MembershipPart,
                ServerPart,
                SharePart,
                SharesClosedRecorder,
            ),
        )
        core.state.closed = False
        self.nodes[name] = Node(name=name, core=core)
        vms = {vm.name: vm for vm in self._list_versions[-1][1].vms}
        if name not in vms:
            self._publish_list(
                (*vms.values(), self._make_entry(name, VmRole.ENTRY))
            )
        self._deliver(self.nodes[name], TimerTick())

    def kill(self, name):
        """Kill a process; its VM closes the connections at once."""
        self.nodes.pop(name, None)

    def lose(self, name):
        """Remove a failed VM, whose connections linger at the server."""
        node = self.nodes.pop(name, None)
        if node is None:
            return
        self.lingering_connections.append(
            (node.open_connections, self.now + LINGER_S)
        )
        self.lost_at[name] = self.now
        self._remove_from_list(name)

    def stop(self, name):
        """Ask a process to close its connections and exit."""
        node = self.nodes.get(name)
        if node is not None and not node.frozen:
            self._deliver(node, SharesReleased())

    def cut(self, name, other):
        """Drop messages from one node to another, or its reads of the list."""
        self.cut_links.add((name, other))

    def isolate(self, name):
        """Cut a node off from all others, both ways, and from the list."""
        for other in (*self.nodes, "list"):
            self.cut(name, other)
            self.cut(other, name)

    def freeze(self, name):
        """Suspend a process, which keeps its connections."""
        if name in self.nodes:
            self.nodes[name].frozen = True

    def heal(self):
        """Restore all links, resume processes, close excess connections."""
        self.cut_links.clear()
        self.closes_excess = True
        for node in self.nodes.values():
            node.frozen = False

    def set_list_lag(self, lag_s):
        """Set the lag of the VM list.

        :param lag_s: Age in seconds of the list that nodes read.
        """
        self._list_lag_s = lag_s

    def run(self, seconds):
        """Advance the time in steps of ``TIME_STEP_S``.

        :param seconds: Time in seconds.
        """
        end = self.now + seconds
        while self.now < end:
            self.now += TIME_STEP_S
            self.lingering_connections = [
                item
                for item in self.lingering_connections
                if item[1] > self.now
            ]
            due = [item for item in self._deliveries if item[0] <= self.now]
            self._deliveries = [
                item for item in self._deliveries if item[0] > self.now
            ]
            for _, target, event in due:
                if target in self.nodes:
                    self._deliver(self.nodes[target], event)
            for node in tuple(self.nodes.values()):
                self._step_node(node)
            self.check()

    def check(self):
        """Count the open connections and update ``max_open``."""
        open_connections = sum(
            node.open_connections for node in self.nodes.values()
        )
        lingering = sum(count for count, _ in self.lingering_connections)
        self.max_open = max(self.max_open, open_connections + lingering)

    def list_shares(self):
        """Return each node's share, by name of the node."""
        return {name: node.limit for name, node in self.nodes.items()}

    def _step_node(self, node):
        if node.frozen:
            return
        if self.closes_excess and node.open_connections > node.limit:
            node.open_connections = node.limit
            event = ConnectionShareApplied(server="s", limit=node.limit)
            self._deliver(node, event)
        if node.core.get_wakeup_time() <= self.now:
            self._deliver(node, TimerTick())
        if node.core.state.closed:
            self.nodes.pop(node.name, None)
            self._remove_from_list(node.name)

    def _deliver(self, node, event):
        if node.frozen:
            return
        for command in node.core.step(event, self.now):
            match command:
                case SendPeerMessage():
                    self._send(node, command)
                case ReadVmList():
                    self._read_list(node)
                case SetConnectionShare():
                    self._set_share(node, command.limit)

    def _set_share(self, node, limit):
        node.limit = limit
        if node.open_connections <= limit:
            node.open_connections = limit
            self.check()
            self._deliver(
                node, ConnectionShareApplied(server="s", limit=limit)
            )

    def _send(self, node, command):
        node.sequence += 1
        lost = self._rng.random() < self._loss_ratio
        if lost or (node.name, command.peer) in self.cut_links:
            return
        envelope = PeerEnvelope(
            sender=node.name,
            incarnation=1,
            sequence=node.sequence,
            message=command.message,
        )
        event = PeerMessageReceived(envelope=envelope)
        self._deliveries.append(
            (self.now + MESSAGE_DELAY_S, command.peer, event)
        )

    def _read_list(self, node):
        if (node.name, "list") in self.cut_links:
            return
        visible = [
            version
            for since, version in self._list_versions
            if since
            <= self.now - self.list_lags_s.get(node.name, self._list_lag_s)
        ]
        event = VmListRead(
            vm_list=(visible or [self._list_versions[0][1]])[-1]
        )
        self._deliveries.append((self.now + MESSAGE_DELAY_S, node.name, event))

    def _make_entry(self, name, role):
        backend = role is VmRole.BACKEND
        return VmEntry(
            name=name,
            role=role,
            failure_domain="fd-1",
            address="127.0.0.1:1",
            peer_address="" if backend else "127.0.0.1:1",
            index="ink" if backend else "",
            service="ink" if backend else "",
        )

    def _publish_list(self, vms):
        sequence = self._list_versions[-1][1].sequence + 1
        version = VmList(sequence=sequence, vms=tuple(vms))
        self._list_versions.append((self.now, version))

    def _remove_from_list(self, name):
        vms = self._list_versions[-1][1].vms
        self._publish_list(vm for vm in vms if vm.name != name)
