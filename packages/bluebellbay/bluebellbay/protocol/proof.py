"""Proof that no part of a request ran at any backend server."""

from typing import Final

from expression import Nothing
from expression import Option
from expression import Some

_CONSTRUCTION_TOKEN: Final = object()


class NotRunProof:
    """Evidence that a request ran nowhere; only a ledger can make one."""

    __slots__ = ()

    def __init__(self, *, token: object) -> None:
        if token is not _CONSTRUCTION_TOKEN:
            raise TypeError("only a LegLedger proves that nothing ran")


class LegLedger:
    """Counts the legs of one request that may have run.

    A leg counts from the moment it is handed to a transport until the
    transport says that no byte left, or the server that it refused first.
    """

    __slots__ = ("_may_have_run", "_sent")

    def __init__(self) -> None:
        self._may_have_run = 0
        self._sent = 0

    @property
    def sent(self) -> int:
        """Legs handed to a transport so far."""
        return self._sent

    def record_sent(self) -> None:
        """Count a leg that is handed to a transport."""
        self._sent += 1
        self._may_have_run += 1

    def record_not_run(self) -> None:
        """Take back a leg that positively did not run."""
        self._may_have_run -= 1

    def prove_not_run(self) -> Option[NotRunProof]:
        """Give the proof, if no leg of the request may have run.

        :returns: The proof, or nothing.
        """
        if self._may_have_run > 0:
            return Nothing
        return Some(NotRunProof(token=_CONSTRUCTION_TOKEN))


def prove_not_sent() -> NotRunProof:
    """Give the proof for a request that was refused before any leg.

    :returns: The proof.
    """
    return NotRunProof(token=_CONSTRUCTION_TOKEN)
