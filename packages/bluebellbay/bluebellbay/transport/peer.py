"""Messages between entry VMs over NNG push and pull sockets."""

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
from bluebellbay.transport.interface import EventHandler
from bluebellbay.transport.interface import PeerLink

SEND_BUFFER_MESSAGES = 16
RECEIVE_BUFFER_MESSAGES = 256
RECEIVE_BATCH = 64
RECEIVE_LIMIT_BYTES = 2 * MAX_PEER_MESSAGE_BYTES
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2000
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _PeerSocket:
    address: str
    socket: pynng.Push0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _LastReceived:
    incarnation: int
    sequence: int


@implementer(IReadDescriptor)
class _SocketReader:
    """Lets the reactor watch the receive descriptor of a pull socket.

    :param socket: A listening socket.
    :param receive: Called with the bytes of each message.
    """

    def __init__(
        self, *, socket: pynng.Pull0, receive: Callable[[bytes], None]
    ) -> None:
        self._socket = socket
        self._receive = receive

    def fileno(self) -> int:
        """Return the descriptor that is readable while messages wait."""
        return int(self._socket.recv_fd)

    def logPrefix(self) -> str:
        """Return the prefix of the reactor's own log lines."""
        return "peer"

    def doRead(self) -> None:
        """Receive the waiting messages, up to ``RECEIVE_BATCH``."""
        for _ in range(RECEIVE_BATCH):
            try:
                data = self._socket.recv(block=False)
            except pynng.TryAgain:
                return
            self._receive(data)

    def connectionLost(self, reason: Failure) -> None:
        """Do nothing, as the link closes the socket.

        :param reason: Why the reactor no longer watches the descriptor.
        """


class NngPeerLink(PeerLink):
    """Exchanges messages with other entry VMs, delivered at most once.

    Messages carry the sender's start time as incarnation and a sequence
    number; those that are not newer than the last one of their sender are
    dropped. ``unsent`` counts messages that could not be queued.

    :param reactor: Twisted reactor.
    :param name: Name of this node.
    :param listen: ``host:port`` to listen on.
    :param report: Called with each event.
    :param clock_skew_s: Largest accepted clock difference between two VMs in
        seconds.
    :param wall_clock: Returns the current Unix time in seconds.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        name: str,
        listen: str,
        report: EventHandler,
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
        self._socket_reader: _SocketReader | None = None
        self._socket: pynng.Pull0 | None = None
        self._peer_sockets: dict[str, _PeerSocket] = {}
        self._last_received: dict[str, _LastReceived] = {}
        self.unsent = 0

    def start(self) -> None:
        """Listen for peers."""
        self._socket = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
            recv_max_size=RECEIVE_LIMIT_BYTES,
        )
        self._socket.listen(f"tcp://{self._listen}")
        self._socket_reader = _SocketReader(
            socket=self._socket, receive=self.receive
        )
        self._reactor.addReader(self._socket_reader)

    def send_peer(self, command: SendPeerMessage) -> None:
        """Send a message without waiting; it may be lost.

        :param command: The peer, its address and the message.
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
        peer_socket = self._get_peer_socket(command.peer, command.address)
        try:
            peer_socket.socket.send(data, block=False)
        except pynng.NNGException:
            self.unsent += 1

    def receive(self, data: bytes) -> None:
        """Decode a message and report it as received or dropped.

        :param data: The bytes as received.
        """
        decoded = decode_peer(data)
        if decoded.is_error():
            self._report(PeerMessageDropped(reason=decoded.error.reason))
            return
        envelope = decoded.ok
        drop_reason = self._find_drop_reason(envelope)
        if drop_reason:
            self._report(PeerMessageDropped(reason=drop_reason))
            return
        self._last_received[envelope.sender] = _LastReceived(
            incarnation=envelope.incarnation, sequence=envelope.sequence
        )
        self._report(PeerMessageReceived(envelope=envelope))

    def stop(self) -> None:
        """Close the sockets."""
        if self._socket_reader is not None:
            self._reactor.removeReader(self._socket_reader)
        if self._socket is not None:
            self._socket.close()
        for peer_socket in self._peer_sockets.values():
            peer_socket.socket.close()
        self._peer_sockets.clear()

    def _get_peer_socket(self, peer: str, address: str) -> _PeerSocket:
        peer_socket = self._peer_sockets.get(peer)
        if peer_socket is not None and peer_socket.address == address:
            return peer_socket
        if peer_socket is not None:
            peer_socket.socket.close()
        socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        socket.dial(f"tcp://{address}", block=False)
        peer_socket = _PeerSocket(address=address, socket=socket)
        self._peer_sockets[peer] = peer_socket
        return peer_socket

    def _find_drop_reason(self, envelope: PeerEnvelope) -> str:
        if envelope.sender == self._name:
            return "forged sender"
        latest_allowed_ms = (
            self._wall_clock() + self._clock_skew_s
        ) * MS_PER_S
        if envelope.incarnation > latest_allowed_ms:
            return "incarnation in the future"
        last_received = self._last_received.get(envelope.sender)
        if (
            last_received is None
            or envelope.incarnation > last_received.incarnation
        ):
            return ""
        if envelope.incarnation < last_received.incarnation:
            return "replayed incarnation"
        if envelope.sequence <= last_received.sequence:
            return "replayed"
        return ""
