"""Abstract base classes at the outside interfaces.

Another wire format is one more module that implements one of these.
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

Report = Callable[[Event], None]


class CallerLink(abc.ABC):
    """Takes callers' requests and gives them their answers."""

    @abc.abstractmethod
    def start(self) -> None:
        """Listen for callers."""

    @abc.abstractmethod
    def answer(self, *, caller: int, answer: Answer) -> None:
        """Answer one exchange.

        :param caller: Number of the exchange.
        :param answer: The whole answer.
        """

    @abc.abstractmethod
    def report_health(self, *, healthy: bool) -> None:
        """Set what the health endpoint tells the balancer.

        :param healthy: Whether new requests are welcome.
        """

    @abc.abstractmethod
    def stop(self) -> Deferred[None]:
        """Stop listening, after the last answer has been written.

        :returns: Fires once everything written has left.
        """


class BackendLink(abc.ABC):
    """Carries legs to backend servers over bounded pools."""

    @abc.abstractmethod
    def send_leg(self, command: SendLeg) -> None:
        """Send a leg; exactly one event reports how it ended.

        :param command: The leg and its server.
        """

    @abc.abstractmethod
    def cancel_leg(self, command: CancelLeg) -> None:
        """Tell a server that a leg is no longer wanted.

        :param command: The leg's attempt and its server.
        """

    @abc.abstractmethod
    def poll_server(self, command: PollServer) -> None:
        """Read a server's health; one event reports it.

        :param command: The server.
        """

    @abc.abstractmethod
    def set_share(self, command: SetConnectionShare) -> None:
        """Bound the connections to a server, and warm some.

        :param command: The bound.
        """

    @abc.abstractmethod
    def stop(self) -> Deferred[None]:
        """Close all connections.

        :returns: Fires once they are closed.
        """


class StoreLink(abc.ABC):
    """Carries calls to the platform's store; one event answers each."""

    @abc.abstractmethod
    def read_key(self, command: ReadKey) -> None:
        """Read a key.

        :param command: The key and the ticket.
        """

    @abc.abstractmethod
    def write_key(self, command: WriteKey) -> None:
        """Compare-and-swap a key.

        :param command: The key, value, expected version and ticket.
        """

    @abc.abstractmethod
    def watch_key(self, command: WatchKey) -> None:
        """Wait for a key to change.

        :param command: The key, known version and ticket.
        """


class VmListLink(abc.ABC):
    """Reads the platform's list of VMs."""

    @abc.abstractmethod
    def read_vm_list(self) -> None:
        """Read the list; an event reports it if it could be read."""


class PeerLink(abc.ABC):
    """Carries messages between entry VMs, at most once each."""

    @abc.abstractmethod
    def start(self) -> None:
        """Listen for peers."""

    @abc.abstractmethod
    def send_peer(self, command: SendPeerMessage) -> None:
        """Send a message without waiting; it may be lost.

        :param command: The peer and the message.
        """

    @abc.abstractmethod
    def stop(self) -> None:
        """Close the sockets."""
