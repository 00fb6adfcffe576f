"""Messages between entry VMs over pynng push and pull sockets."""

from collections.abc import Callable
import dataclasses
import time
from typing import Any

import pynng
from twisted.internet.interfaces import IReadDescriptor
from twisted.python.failure import Failure
from zope.interface import implementer

from bluebellbay.protocol.codec import decode_peer
from bluebellbay.protocol.codec import encode_peer
from bluebellbay.protocol.command import SendPeerMessage
from bluebellbay.protocol.event import PeerMessageDropped
from bluebellbay.protocol.event import PeerMessageReceived
from bluebellbay.protocol.peer import MAX_PEER_MESSAGE_BYTES
from bluebellbay.protocol.peer import PeerEnvelope
from bluebellbay.transport.interface import PeerLink
from bluebellbay.transport.interface import Report

SEND_BUFFER_MESSAGES = 16
RECEIVE_BUFFER_MESSAGES = 256
RECEIVE_BATCH = 64
RECEIVE_LIMIT_BYTES = 2 * MAX_PEER_MESSAGE_BYTES
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2000
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Outlet:
    address: str
    socket: pynng.Push0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Position:
    incarnation: int
    sequence: int


@implementer(IReadDescriptor)
class _Inlet:
    """Lets the reactor watch the receive descriptor of a pull socket.

    :param socket: The socket.
    :param receive: Told each message.
    """

    def __init__(
        self, *, socket: pynng.Pull0, receive: Callable[[bytes], None]
    ) -> None:
        self._socket = socket
        self._receive = receive

    def fileno(self) -> int:
        """Give the descriptor that is readable while messages wait."""
        return int(self._socket.recv_fd)

    def logPrefix(self) -> str:
        """Give the prefix of the reactor's own log lines."""
        return "peer"

    def doRead(self) -> None:
        """Take the messages that wait, up to a batch."""
        for _ in range(RECEIVE_BATCH):
            try:
                data = self._socket.recv(block=False)
            except pynng.TryAgain:
                return
            self._receive(data)

    def connectionLost(self, reason: Failure) -> None:
        """Do nothing; the socket is closed by its owner.

        :param reason: Why the reactor stops to watch.
        """


class NngPeerLink(PeerLink):
    """Carries messages between entry VMs, at most once each.

    :param reactor: The reactor.
    :param name: Name of this node.
    :param listen: ``host:port`` to receive on.
    :param report: Told each event.
    :param clock_skew_s: Largest difference of two VMs' clocks in seconds.
    :param wall_clock: Gives the present Unix time in seconds.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        name: str,
        listen: str,
        report: Report,
        clock_skew_s: float = 5.0,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._reactor = reactor
        self._name = name
        self._listen = listen
        self._report = report
        self._clock_skew_s = clock_skew_s
        self._wall_clock = wall_clock
        self._incarnation = int(wall_clock() * MS_PER_S)
        self._sequence = 0
        self._inlet: _Inlet | None = None
        self._socket: pynng.Pull0 | None = None
        self._outlets: dict[str, _Outlet] = {}
        self._seen: dict[str, _Position] = {}
        self.unsent = 0

    def start(self) -> None:
        """Listen for peers."""
        self._socket = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
            recv_max_size=RECEIVE_LIMIT_BYTES,
        )
        self._socket.listen(f"tcp://{self._listen}")
        self._inlet = _Inlet(socket=self._socket, receive=self.receive)
        self._reactor.addReader(self._inlet)

    def send_peer(self, command: SendPeerMessage) -> None:
        """Send a message without waiting; it may be lost.

        :param command: The peer and the message.
        """
        self._sequence += 1
        data = encode_peer(
            PeerEnvelope(
                sender=self._name,
                incarnation=self._incarnation,
                sequence=self._sequence,
                message=command.message,
            )
        )
        outlet = self._find_outlet(command.peer, command.address)
        try:
            outlet.socket.send(data, block=False)
        except pynng.NNGException:
            self.unsent += 1

    def receive(self, data: bytes) -> None:
        """Report one message, or that it was dropped.

        :param data: The bytes as they came.
        """
        decoded = decode_peer(data)
        if decoded.is_error():
            self._report(PeerMessageDropped(reason=decoded.error.reason))
            return
        envelope = decoded.ok
        fault = self._find_fault(envelope)
        if fault:
            self._report(PeerMessageDropped(reason=fault))
            return
        self._seen[envelope.sender] = _Position(
            incarnation=envelope.incarnation, sequence=envelope.sequence
        )
        self._report(PeerMessageReceived(envelope=envelope))

    def stop(self) -> None:
        """Close the sockets."""
        if self._inlet is not None:
            self._reactor.removeReader(self._inlet)
        if self._socket is not None:
            self._socket.close()
        for outlet in self._outlets.values():
            outlet.socket.close()
        self._outlets.clear()

    def _find_outlet(self, peer: str, address: str) -> _Outlet:
        outlet = self._outlets.get(peer)
        if outlet is not None and outlet.address == address:
            return outlet
        if outlet is not None:
            outlet.socket.close()
        socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        socket.dial(f"tcp://{address}", block=False)
        outlet = _Outlet(address=address, socket=socket)
        self._outlets[peer] = outlet
        return outlet

    def _find_fault(self, envelope: PeerEnvelope) -> str:
        if envelope.sender == self._name:
            return "forged sender"
        latest = (self._wall_clock() + self._clock_skew_s) * MS_PER_S
        if envelope.incarnation > latest:
            return "incarnation in the future"
        seen = self._seen.get(envelope.sender)
        if seen is None or envelope.incarnation > seen.incarnation:
            return ""
        if envelope.incarnation < seen.incarnation:
            return "replayed incarnation"
        if envelope.sequence <= seen.sequence:
            return "replayed"
        return ""
