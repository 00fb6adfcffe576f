"""A node that follows a store over sockets, without callers."""

import random
import time

from _reactor_thread import call_in_reactor
from fake_platform import LOOPBACK
from twisted.internet import reactor
from twisted.internet.task import LoopingCall

from bluebellbay.coordination.routing.core import RoutingCore
from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.process import LogDecision
from bluebellbay.protocol.process import TimerTick
from bluebellbay.protocol.router_rules import RouterRules
from bluebellbay.protocol.store_allowance import StoreAllowance
from bluebellbay.transport.follower import StoreFollower
from bluebellbay.transport.store_pace import StorePace
from bluebellbay_platform.schema import PlatformSchema
from bluebellbay_platform.store import PlatformStore

TIMER_INTERVAL_S = 0.01


class FollowingNode:
    """A follower whose events reach a routing core, as in the program."""

    def __init__(self, store, *, nodes=4, name="node-0"):
        self.core = RoutingCore(
            rules=RouterRules(node=name, failure_domain="z"),
            rng=random.Random(1),
        )
        self.unreadable = []
        self.lines = []
        self.client = PlatformStore(
            reactor=reactor, address=f"{LOOPBACK}:{store.server.port}"
        )
        self._follower = StoreFollower(
            reactor=reactor,
            client=self.client,
            schema=PlatformSchema(
                report_unreadable=lambda key, reason: self.unreadable.append(
                    (key, reason)
                )
            ),
            node=NodeEntry(
                name=name, address="127.0.0.1:1", failure_domain="z"
            ),
            report=self._step,
            report_exception=lambda error: None,
            rng=random.Random(1),
            pace=StorePace(allowance=StoreAllowance()),
            count_nodes=lambda: nodes,
            read_version=lambda: self.core.state.routes.version,
        )
        self._timers = LoopingCall(self._run_timers)
        call_in_reactor(self._start)

    @property
    def version(self):
        return self.core.state.routes.version

    @property
    def replicas(self):
        return {record.entry.replica_id for record in self.core.state.replicas}

    def call_later(self, seconds, function, *arguments):
        call_in_reactor(
            lambda: reactor.callLater(seconds, function, *arguments)
        )

    def _step(self, event):
        for command in self.core.step(event, time.time()):
            if isinstance(command, LogDecision):
                self.lines.append(command)

    def stop(self):
        call_in_reactor(self._stop)

    def _start(self):
        self._follower.start()
        self._timers.start(TIMER_INTERVAL_S)

    def _stop(self):
        self._follower.stop()
        if self._timers.running:
            self._timers.stop()

    def _run_timers(self):
        due_at = self.core.get_wakeup_time()
        if due_at is not None and due_at <= time.time():
            self._step(TimerTick())
