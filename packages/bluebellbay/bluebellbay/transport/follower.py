"""Keeps up with the store, and keeps this node's lease in it."""

from collections.abc import Callable
import random
from typing import Any

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.registry import StoreConnectionLost
from bluebellbay.protocol.registry import StoreConnectionRestored
from bluebellbay.transport.interface import Report
from bluebellbay.transport.store import HistoryGone
from bluebellbay.transport.store import LeaseGone
from bluebellbay.transport.store import StoreClient
from bluebellbay.transport.store import StoreSchema
from bluebellbay.transport.store import StoreUnavailable
from bluebellbay.transport.store_pace import StorePace

FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
LOST_WAIT_S = 0.1
LEASE_S = 30.0
RENEWALS_A_LEASE = 3

Fault = Callable[[Exception], None]


class _Pause:
    def __init__(self, *, reactor: Any, rng: random.Random) -> None:
        self._reactor = reactor
        self._rng = rng
        self._next_s = FIRST_PAUSE_S

    def reset(self) -> None:
        self._next_s = FIRST_PAUSE_S

    def wait(self) -> Deferred[None]:
        seconds = self._next_s * (0.5 + self._rng.random())
        self._next_s = min(LONGEST_PAUSE_S, 2 * self._next_s)
        return deferLater(self._reactor, seconds)


class StoreFollower:
    """Reads what the store holds, then each change, and starts over if lost.

    :param reactor: The reactor.
    :param client: Calls to the store.
    :param schema: What its items mean.
    :param node: This node.
    :param report: Told each event.
    :param note_fault: Told each exception that is no answer of the store.
    :param rng: Spreads retries of many nodes.
    :param pace: How often it calls the store.
    :param count_nodes: Counts the nodes that call the store.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        client: StoreClient,
        schema: StoreSchema,
        node: NodeEntry,
        report: Report,
        note_fault: Fault,
        rng: random.Random,
        pace: StorePace,
        count_nodes: Callable[[], int],
    ) -> None:
        self.pace = pace
        self._count_nodes = count_nodes
        self._reactor = reactor
        self._client = client
        self._schema = schema
        self._node = node
        self._report = report
        self._note_fault = note_fault
        self._rng = rng
        self._lost = False
        self._tasks: list[Deferred[None]] = []

    def start(self) -> None:
        """Begin to follow."""
        for task in (self._follow(), self._keep_lease()):
            running = Deferred.fromCoroutine(task)
            running.addErrback(self._report_end)
            self._tasks.append(running)

    def stop(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    async def _follow(self) -> None:
        pause = _Pause(reactor=self._reactor, rng=self._rng)
        revision: int | None = None
        while True:
            try:
                if revision is None:
                    revision = await self._read_all()
                else:
                    revision = await self._read_changes(revision)
                pause.reset()
            except HistoryGone:
                revision = None
            except StoreUnavailable as error:
                self._lose(str(error))
                await pause.wait()
            except CancelledError:
                return
            except Exception as error:
                # What one item does to us must not end the following.
                self._note_fault(error)
                revision = None
                await pause.wait()

    async def _read_all(self) -> int:
        items = await self._client.list_items()
        self._regain()
        for event in self._schema.read_list(items.items):
            self._report(event)
        return items.revision

    async def _read_changes(self, revision: int) -> int:
        nodes = self._count_nodes()
        # A store that is lost is asked often, not waited for.
        wait_s = LOST_WAIT_S if self._lost else self.pace.find_wait(nodes)
        changes = await self._client.watch(revision, wait_s)
        self._regain()
        for item in changes.items:
            for event in self._schema.read_change(item):
                self._report(event)
        gather_s = self.pace.find_gather(nodes, changes.items)
        if gather_s > 0:
            await deferLater(self._reactor, gather_s)
        return max(revision, changes.revision)

    async def _keep_lease(self) -> None:
        pause = _Pause(reactor=self._reactor, rng=self._rng)
        lease: int | None = None
        item = self._schema.write_node(self._node)
        while True:
            try:
                if lease is None:
                    lease = await self._client.open_lease(LEASE_S)
                    await self._client.put(item.key, item.value or b"", lease)
                else:
                    await self._client.renew_lease(lease)
                pause.reset()
                await deferLater(self._reactor, LEASE_S / RENEWALS_A_LEASE)
            except LeaseGone:
                lease = None
            except StoreUnavailable:
                # The watch reports that the store is lost.
                await pause.wait()
            except CancelledError:
                return

    def _lose(self, reason: str) -> None:
        self._lost = True
        self._report(StoreConnectionLost(reason=reason))

    def _regain(self) -> None:
        if self._lost:
            self._lost = False
            self._report(StoreConnectionRestored())

    def _report_end(self, failure: Any) -> None:
        if not failure.check(CancelledError):
            self._note_fault(failure.value)
