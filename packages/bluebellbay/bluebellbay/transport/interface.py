"""Abstract base classes of the external interfaces.

A further wire format is added as a module that implements one of these.
"""

import abc
from collections.abc import Callable

from twisted.internet.defer import Deferred

from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.command import CancelLeg
from bluebellbay.protocol.command import PollServer
from bluebellbay.protocol.command import ReadKey
from bluebellbay.protocol.command import SendLeg
from bluebellbay.protocol.command import SendPeerMessage
from bluebellbay.protocol.command import SetConnectionShare
from bluebellbay.protocol.command import WatchKey
from bluebellbay.protocol.command import WriteKey
from bluebellbay.protocol.event import Event

EventHandler = Callable[[Event], None]


class CallerLink(abc.ABC):
    """Receives callers' requests and sends their answers."""

    @abc.abstractmethod
    def start(self) -> None:
        """Listen for callers."""

    @abc.abstractmethod
    def answer(self, *, caller: int, answer: Answer) -> None:
        """Answer a request; ignored if its caller has left.

        :param caller: Number that the request was reported with.
        :param answer: The whole answer.
        """

    @abc.abstractmethod
    def report_health(self, *, healthy: bool) -> None:
        """Set the health that the balancer is told.

        :param healthy: Whether the node accepts new requests.
        """

    @abc.abstractmethod
    def stop(self) -> Deferred[None]:
        """Stop listening, and close connections once their data is sent.

        To be called after the last answer.

        :returns: Fires once all connections are closed.
        """


class BackendLink(abc.ABC):
    """Sends legs to backend servers over limited connection pools."""

    @abc.abstractmethod
    def send_leg(self, command: SendLeg) -> None:
        """Send a leg; exactly one event reports how it ended.

        :param command: The leg and the server to send it to.
        """

    @abc.abstractmethod
    def cancel_leg(self, command: CancelLeg) -> None:
        """Cancel a leg; its end is still reported.

        :param command: The attempt and its server.
        """

    @abc.abstractmethod
    def poll_server(self, command: PollServer) -> None:
        """Request a server's health report; exactly one event follows.

        :param command: The server.
        """

    @abc.abstractmethod
    def set_share(self, command: SetConnectionShare) -> None:
        """Limit the connections to a server, and open some in advance.

        :param command: The server, the limit and the connections to open.
        """

    @abc.abstractmethod
    def stop(self) -> Deferred[None]:
        """Close all connections.

        :returns: Fires once all connections are closed.
        """


class StoreLink(abc.ABC):
    """Makes calls to the platform's store; one event reports each result."""

    @abc.abstractmethod
    def read_key(self, command: ReadKey) -> None:
        """Read a key.

        :param command: The key, and the ticket that its event repeats.
        """

    @abc.abstractmethod
    def write_key(self, command: WriteKey) -> None:
        """Write a key if its version is the expected one.

        :param command: The key, value, expected version and ticket.
        """

    @abc.abstractmethod
    def watch_key(self, command: WatchKey) -> None:
        """Wait for a key to have a version above the known one.

        :param command: The key, the known version, the time to wait in seconds
            and the ticket.
        """


class VmListLink(abc.ABC):
    """Reads the platform's VM list."""

    @abc.abstractmethod
    def read_vm_list(self) -> None:
        """Read the list; an event reports it, a failure reports nothing."""


class PeerLink(abc.ABC):
    """Exchanges messages with other entry VMs, delivered at most once."""

    @abc.abstractmethod
    def start(self) -> None:
        """Listen for peers."""

    @abc.abstractmethod
    def send_peer(self, command: SendPeerMessage) -> None:
        """Send a message without waiting; it may be lost.

        :param command: The peer, its address and the message.
        """

    @abc.abstractmethod
    def stop(self) -> None:
        """Close the sockets."""
