"""Proof that no backend server executed any part of a request."""

from typing import Final

from expression import Nothing
from expression import Option
from expression import Some

_CONSTRUCTION_TOKEN: Final = object()


class NotRunProof:
    """Proof that no part of a request was executed.

    Only this module can create one, so that no answer can claim "not run"
    without it.
    """

    __slots__ = ()

    def __init__(self, *, token: object) -> None:
        if token is not _CONSTRUCTION_TOKEN:
            raise TypeError(
                "obtain a NotRunProof from prove_not_run or prove_not_sent"
            )


class LegLedger:
    """Counts the legs of one request that may have been executed.

    A leg counts from the moment it is handed to the transport. It stops
    counting if the transport reports that no byte of it was sent, or the
    backend server that it refused the leg before executing it.
    """

    __slots__ = ("_may_have_run", "_sent")

    def __init__(self) -> None:
        self._may_have_run = 0
        self._sent = 0

    @property
    def sent(self) -> int:
        """Number of legs handed to the transport so far."""
        return self._sent

    def record_sent(self) -> None:
        """Count a leg that is handed to the transport."""
        self._sent += 1
        self._may_have_run += 1

    def record_not_run(self) -> None:
        """Stop counting a leg that is known not to have been executed."""
        self._may_have_run -= 1

    def prove_not_run(self) -> Option[NotRunProof]:
        """Return the proof if no leg of the request may have been executed.

        :returns: The proof, or ``Nothing`` if a leg may have been executed.
        """
        if self._may_have_run > 0:
            return Nothing
        return Some(NotRunProof(token=_CONSTRUCTION_TOKEN))


def prove_not_sent() -> NotRunProof:
    """Return the proof for a request that was refused before any leg was sent.

    The caller must know that no leg was handed to a transport; this is not
    checked.
    """
    return NotRunProof(token=_CONSTRUCTION_TOKEN)
