"""Ends listening without losing connections that wait to be accepted."""

from collections.abc import Callable
from typing import Any

# Time for what callers sent on their connections to arrive and to be read,
# before those that are idle are closed.
DRAIN_READ_DELAY_S = 0.1


def accept_waiting(port: Any, count_connections: Callable[[], int]) -> None:
    """Accept all connections that the kernel has completed.

    Closing the port would reset them. A connection that is completed later,
    before the port is closed, is still reset.

    :param port: Twisted port that is listened on.
    :param count_connections: Counts the connections accepted and open.
    """
    accepted = -1
    while accepted != count_connections():
        accepted = count_connections()
        port.doRead()
