"""Nodes, a platform's list and one backend server in virtual time."""

import dataclasses
import random

from bluebellbay.coordination.core import Core
from bluebellbay.coordination.fleet.membership import MembershipPart
from bluebellbay.coordination.fleet.share import SharePart
from bluebellbay.coordination.part import Part
from bluebellbay.coordination.servers.server import ServerPart
from bluebellbay.protocol.command import ReadVmList
from bluebellbay.protocol.command import SendPeer
from bluebellbay.protocol.command import SetConnectionShare
from bluebellbay.protocol.event import PeerReceived
from bluebellbay.protocol.event import ShareInForce
from bluebellbay.protocol.event import SharesClosed
from bluebellbay.protocol.event import SharesGivenUp
from bluebellbay.protocol.event import TimePassed
from bluebellbay.protocol.event import VmListRead
from bluebellbay.protocol.peer import PeerEnvelope
from bluebellbay.protocol.vm import VmEntry
from bluebellbay.protocol.vm import VmList
from bluebellbay.protocol.vm import VmRole
from bluebellbay.settings import parse_settings

LIMIT = 25
LINGER_S = 15.0
LONGEST_LAG_S = 5.0
MESSAGE_S = 0.01
TICK_S = 0.05


class EndRecorder(Part):
    """Notes that the node has closed its connections."""

    @property
    def event_types(self):
        return (SharesClosed,)

    def step(self, event, now):
        self.state.closed = True
        return ()


def make_settings(name, named):
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
            "indexes": [{"name": "ink", "connection_limit": LIMIT}],
            "peers": [
                {
                    "name": peer,
                    "failure_domain": "fd-1",
                    "address": "127.0.0.1:1",
                    "peer_address": "127.0.0.1:1",
                }
                for peer in named
            ],
            "fleet": {"connection_linger_s": LINGER_S},
        }
    ).ok


@dataclasses.dataclass(kw_only=True)
class Node:
    """One process and the connections that it may have open."""

    name: str
    core: Core
    held: int = 0
    limit: int = 0
    frozen: bool = False
    sequence: int = 0


class ShareWorld:
    """Moves messages, lists and time between nodes; checks the sum."""

    def __init__(self, *, named, seed, loss=0.0):
        self.named = named
        self.now = 1000.0
        self.most = 0
        self.nodes = {}
        self.cuts = set()
        self.unlisted = set()
        self.lost_at = {}
        self.ghosts = []
        self.settling = True
        self._rng = random.Random(seed)  # noqa: S311
        self._loss = loss
        self.lags = {}
        self._lag_s = 0.0
        self._starts = 0
        self._messages = []
        self._versions = [(0.0, VmList(sequence=1, vms=()))]
        self._list((self._describe("s", VmRole.BACKEND),))

    def start(self, name, named=None):
        """Start a process on a VM, which is listed from now on."""
        gone_s = self.now - self.lost_at.get(name, -LINGER_S)
        if name in self.nodes or gone_s < LINGER_S:
            return
        self._starts += 1
        core = Core(
            settings=make_settings(name, named or self.named),
            rng=random.Random(self._starts),  # noqa: S311
            parts=(MembershipPart, ServerPart, SharePart, EndRecorder),
        )
        core.state.closed = False
        self.nodes[name] = Node(name=name, core=core)
        vms = {vm.name: vm for vm in self._versions[-1][1].vms}
        if name not in vms:
            self._list((*vms.values(), self._describe(name, VmRole.ENTRY)))
        self._feed(self.nodes[name], TimePassed())

    def kill(self, name):
        """End a process; its VM closes its connections."""
        self.nodes.pop(name, None)

    def lose(self, name):
        """Lose a VM, whose connections linger at the server."""
        node = self.nodes.pop(name, None)
        if node is None:
            return
        self.ghosts.append((node.held, self.now + LINGER_S))
        self.lost_at[name] = self.now
        self._unlist(name)

    def stop(self, name):
        """Ask a process to close its connections and end."""
        node = self.nodes.get(name)
        if node is not None and not node.frozen:
            self._feed(node, SharesGivenUp())

    def cut(self, name, other):
        """Cut the way from one node to another, or to the list."""
        self.cuts.add((name, other))

    def isolate(self, name):
        """Cut a node off from all others and from the list."""
        for other in (*self.nodes, "list"):
            self.cut(name, other)
            self.cut(other, name)

    def freeze(self, name):
        """Stop a process, which keeps its connections."""
        if name in self.nodes:
            self.nodes[name].frozen = True

    def heal(self):
        """Join everything and everyone again."""
        self.cuts.clear()
        self.settling = True
        for node in self.nodes.values():
            node.frozen = False

    def set_lag(self, lag_s):
        """Let the list lag from now on."""
        self._lag_s = lag_s

    def run(self, seconds):
        """Let time pass in small steps."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            self.ghosts = [item for item in self.ghosts if item[1] > self.now]
            due = [item for item in self._messages if item[0] <= self.now]
            self._messages = [
                item for item in self._messages if item[0] > self.now
            ]
            for _, target, event in due:
                if target in self.nodes:
                    self._feed(self.nodes[target], event)
            for node in tuple(self.nodes.values()):
                self._tick(node)
            self.check()

    def check(self):
        """Add up what is open, and keep the most that ever was."""
        held = sum(node.held for node in self.nodes.values())
        lingering = sum(count for count, _ in self.ghosts)
        self.most = max(self.most, held + lingering)

    def list_limits(self):
        """List the shares in force, by node."""
        return {name: node.limit for name, node in self.nodes.items()}

    def _tick(self, node):
        if node.frozen:
            return
        if self.settling and node.held > node.limit:
            node.held = node.limit
            event = ShareInForce(server="s", limit=node.limit)
            self._feed(node, event)
        if node.core.get_wakeup_time() <= self.now:
            self._feed(node, TimePassed())
        if node.core.state.closed:
            self.nodes.pop(node.name, None)
            self._unlist(node.name)

    def _feed(self, node, event):
        if node.frozen:
            return
        for command in node.core.step(event, self.now):
            match command:
                case SendPeer():
                    self._send(node, command)
                case ReadVmList():
                    self._read_list(node)
                case SetConnectionShare():
                    self._set_share(node, command.limit)

    def _set_share(self, node, limit):
        node.limit = limit
        if node.held <= limit:
            node.held = limit
            self.check()
            self._feed(node, ShareInForce(server="s", limit=limit))

    def _send(self, node, command):
        node.sequence += 1
        lost = self._rng.random() < self._loss
        if lost or (node.name, command.peer) in self.cuts:
            return
        envelope = PeerEnvelope(
            sender=node.name,
            incarnation=1,
            sequence=node.sequence,
            message=command.message,
        )
        event = PeerReceived(envelope=envelope)
        self._messages.append((self.now + MESSAGE_S, command.peer, event))

    def _read_list(self, node):
        if (node.name, "list") in self.cuts:
            return
        seen = [
            version
            for since, version in self._versions
            if since <= self.now - self.lags.get(node.name, self._lag_s)
        ]
        event = VmListRead(vm_list=(seen or [self._versions[0][1]])[-1])
        self._messages.append((self.now + MESSAGE_S, node.name, event))

    def _describe(self, name, role):
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

    def _list(self, vms):
        sequence = self._versions[-1][1].sequence + 1
        version = VmList(sequence=sequence, vms=tuple(vms))
        self._versions.append((self.now, version))

    def _unlist(self, name):
        vms = self._versions[-1][1].vms
        self._list(vm for vm in vms if vm.name != name)
