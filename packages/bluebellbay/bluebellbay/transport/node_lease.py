"""Keeps this node registered in the store, under a lease."""

from collections.abc import Callable
import dataclasses
import random
from typing import Any

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bluebellbay.protocol.node import NodeEntry
from bluebellbay.protocol.registry import NodeLeaseEnded
from bluebellbay.transport._backoff import Backoff
from bluebellbay.transport.store import LeaseExpired
from bluebellbay.transport.store import StoreClient
from bluebellbay.transport.store import StoreRestored
from bluebellbay.transport.store import StoreSchema
from bluebellbay.transport.store import StoreUnavailable
from bluebellbay.transport.wire import RoutingEventHandler

LEASE_TTL_S = 30.0
RENEWALS_PER_LEASE = 3
# All nodes register anew after a restore of the store, within a time that
# grows with their number as its calls are limited.
RESTORE_SPREAD_S_PER_NODE = 0.01
MAX_RESTORE_SPREAD_S = 1.0


class NodeLease:
    """Writes the node's item under a lease, and under a new one if that ends.

    After a restore the store may have lost the item and the lease, and may
    have given the lease's number to another node. So both are made anew.

    :param reactor: Twisted reactor.
    :param client: Makes the calls to the store.
    :param schema: Converts the node to its item.
    :param node: This node.
    :param report: Called with each event.
    :param report_exception: Called with each unexpected exception.
    :param rng: Source of the jitter of retries.
    :param count_nodes: Returns the number of nodes that call the store.
    :param read_version: Returns the version of the configuration in force.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        client: StoreClient,
        schema: StoreSchema,
        node: NodeEntry,
        report: RoutingEventHandler,
        report_exception: Callable[[Exception], None],
        rng: random.Random,
        count_nodes: Callable[[], int],
        read_version: Callable[[], int],
    ) -> None:
        self._reactor = reactor
        self._client = client
        self._schema = schema
        self._node = node
        self._report = report
        self._report_exception = report_exception
        self._rng = rng
        self._count_nodes = count_nodes
        self._read_version = read_version
        self._lease: int | None = None
        self._written = False
        self._pause: Deferred[None] | None = None

    def renew_all(self) -> None:
        """Make the lease and the item anew, as the store was restored."""
        self._lease = None
        if self._pause is not None:
            self._pause.callback(None)

    async def maintain(self) -> None:
        """Register the node, and renew its lease until cancelled."""
        backoff = Backoff(reactor=self._reactor, rng=self._rng)
        while True:
            try:
                await self._renew()
                backoff.reset()
                await self._wait(LEASE_TTL_S / RENEWALS_PER_LEASE)
                if self._lease is None:
                    await deferLater(self._reactor, self._choose_spread())
            except LeaseExpired:
                self._lease = None
                # A listing after the next write would not show the absence.
                self._report(NodeLeaseEnded(name=self._node.name))
            except StoreRestored:
                self._lease = None
            except StoreUnavailable:
                # The watch reports the outage.
                await backoff.wait()
            except CancelledError:
                return
            except Exception as error:
                # Without a lease the other nodes would not count this one.
                self._report_exception(error)
                await backoff.wait()

    async def _renew(self) -> None:
        if self._lease is None:
            self._written = False
            self._lease = await self._client.open_lease(LEASE_TTL_S)
        lease = self._lease
        if self._written:
            await self._client.renew_lease(lease)
            return
        node = dataclasses.replace(self._node, version=self._read_version())
        item = self._schema.encode_node(node)
        await self._client.put(item.key, item.value or b"", lease)
        self._written = True

    def _choose_spread(self) -> float:
        longest_s = min(
            MAX_RESTORE_SPREAD_S,
            RESTORE_SPREAD_S_PER_NODE * self._count_nodes(),
        )
        return longest_s * self._rng.random()

    async def _wait(self, seconds: float) -> None:
        """Pause until the next renewal, or a restore of the store."""
        pause: Deferred[None] = Deferred()
        self._pause = pause
        timer = self._reactor.callLater(seconds, pause.callback, None)
        try:
            await pause
        finally:
            self._pause = None
            if timer.active():
                timer.cancel()
