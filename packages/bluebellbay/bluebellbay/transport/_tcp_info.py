"""What the kernel knows about a connection."""

import contextlib
import fcntl
import socket
import struct
import termios
from typing import Any

# The round-trip time in microseconds in Linux's struct tcp_info.
ROUND_TRIP_OFFSET = 68
ROUND_TRIP_FORMAT = "=I"
TCP_INFO_BYTES = 104
OUTPUT_QUEUE_FORMAT = "=i"
MICROSECONDS = 1e-6
UNKNOWN_ROUND_TRIP_S = 0.006
# A longer time says more about the opening of the connection than of its path.
MAX_ROUND_TRIP_S = 0.25


def read_round_trip(handle: Any) -> float:
    """Read the round-trip time of a connection.

    :param handle: The connection's socket.
    :returns: Seconds; ``UNKNOWN_ROUND_TRIP_S`` if the kernel does not tell.
    """
    try:
        info = handle.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    except OSError:
        return UNKNOWN_ROUND_TRIP_S
    if len(info) < ROUND_TRIP_OFFSET + struct.calcsize(ROUND_TRIP_FORMAT):
        return UNKNOWN_ROUND_TRIP_S
    (microseconds,) = struct.unpack_from(
        ROUND_TRIP_FORMAT, info, ROUND_TRIP_OFFSET
    )
    if not microseconds:
        return UNKNOWN_ROUND_TRIP_S
    return min(MAX_ROUND_TRIP_S, float(microseconds) * MICROSECONDS)


def has_unacknowledged_data(handle: Any) -> bool:
    """Tell whether the other side's kernel has yet to acknowledge data.

    :param handle: The connection's socket.
    :returns: Whether it has; false if the kernel does not tell.
    """
    empty = bytes(struct.calcsize(OUTPUT_QUEUE_FORMAT))
    try:
        found = fcntl.ioctl(handle.fileno(), termios.TIOCOUTQ, empty)
    except (OSError, ValueError):
        # The socket is closed, or the kernel does not tell.
        return False
    (unacknowledged_bytes,) = struct.unpack(OUTPUT_QUEUE_FORMAT, found)
    return bool(unacknowledged_bytes)


def acknowledge_at_once(handle: Any) -> None:
    """Acknowledge the data received so far without the usual delay.

    :param handle: The connection's socket.
    """
    with contextlib.suppress(OSError):
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)
