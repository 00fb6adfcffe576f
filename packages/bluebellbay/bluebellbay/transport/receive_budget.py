"""Bound on the bytes of responses that a node holds at one time."""

# A connection may hold this much of a body besides what the budget grants, so
# that a server that sends without end does not stop small responses.
GUARANTEED_BYTES = 65_536
DEFAULT_LIMIT_BYTES = 16_777_216


class ReceiveBudget:
    """Grants connections the memory for bodies that are not complete yet.

    :param limit_bytes: Largest sum of the bytes granted at one time.
    """

    def __init__(self, *, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._granted_bytes = 0

    def create_grant(self) -> "ReceiveGrant":
        """Return the grant of one connection, which holds nothing yet."""
        return ReceiveGrant(budget=self)

    def reserve(self, size: int) -> bool:
        """Reserve bytes.

        :param size: Number of bytes.
        :returns: Whether they were reserved; false if too few are left.
        """
        if self._granted_bytes + size > self._limit_bytes:
            return False
        self._granted_bytes += size
        return True

    def release(self, size: int) -> None:
        """Return reserved bytes.

        :param size: Number of bytes.
        """
        self._granted_bytes -= size


class ReceiveGrant:
    """What one connection holds of a budget.

    :param budget: The budget shared by all connections.
    """

    def __init__(self, *, budget: ReceiveBudget) -> None:
        self._budget = budget
        self._held_bytes = 0
        self._reserved_bytes = 0

    def hold(self, size: int) -> bool:
        """Account for more bytes of a body.

        :param size: Number of bytes.
        :returns: Whether they may be held; false if the budget is used up.
        """
        self._held_bytes += size
        excess = self._held_bytes - GUARANTEED_BYTES - self._reserved_bytes
        if excess <= 0:
            return True
        if not self._budget.reserve(excess):
            return False
        self._reserved_bytes += excess
        return True

    def release(self) -> None:
        """Return all bytes, as the body was passed on or discarded."""
        self._budget.release(self._reserved_bytes)
        self._held_bytes = 0
        self._reserved_bytes = 0
