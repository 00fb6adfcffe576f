"""Proof that no part of a request ran at any backend server."""

from typing import Final

from expression import Nothing
from expression import Option
from expression import Some

_SEAL: Final = object()


class NothingRan:
    """Evidence that a request ran nowhere; only a ledger can make one."""

    __slots__ = ()

    def __init__(self, *, seal: object) -> None:
        if seal is not _SEAL:
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

    def prove_nothing_ran(self) -> Option[NothingRan]:
        """Give the proof, if no leg of the request may have run.

        :returns: The proof, or nothing.
        """
        if self._may_have_run > 0:
            return Nothing
        return Some(NothingRan(seal=_SEAL))


def prove_nothing_sent() -> NothingRan:
    """Give the proof for a request that was refused before any leg.

    :returns: The proof.
    """
    return NothingRan(seal=_SEAL)
