"""Tells answers of the store's present era from others.

A store that comes back from a copy begins a new era. It has lost what it
accepted since the copy, and gives out the same revisions and leases again. So
nothing that was learnt in one era can be compared with an answer of another.
"""

from collections.abc import Callable

from bluebellbay.transport.store import StoreRestored
from bluebellbay.transport.store import StoreUnavailable

# So many answers in a row of one earlier era are no late ones: the store's
# count of eras has begun anew.
MAX_EARLIER_ANSWERS = 8


EraHandler = Callable[[int, int | None], None]


class StoreEras:
    """Follows the era that the store's answers name.

    :ivar report: Called with a new era and the former one, which is ``None``
        for the first era that is known.
    """

    def __init__(self) -> None:
        self.report: EraHandler = lambda era, former: None
        self._current: int | None = None
        self._earlier_answers = 0

    @property
    def current(self) -> int | None:
        """The present era; ``None`` until an answer has named one."""
        return self._current

    def check(
        self, era: int | None, *, called_in: int | None, begins: bool
    ) -> None:
        """Check an answer of the store.

        :param era: Era that the answer names; ``None`` if it names none.
        :param called_in: Era in which the call was made.
        :param begins: Whether the call does not depend on what was learnt
            before, as the first page of a listing.
        :raises StoreRestored: If the call depends on an earlier era.
        :raises StoreUnavailable: If the answer is of an earlier era, and so
            came late.
        """
        if era is None:
            return
        if self._current is not None and era < self._current:
            self._earlier_answers += 1
            if self._earlier_answers < MAX_EARLIER_ANSWERS:
                raise StoreUnavailable(f"an answer of the earlier era {era}")
        self._note(era)
        if called_in not in {None, era} and not begins:
            raise StoreRestored

    def _note(self, era: int) -> None:
        self._earlier_answers = 0
        former, self._current = self._current, era
        if former != era:
            self.report(era, former)
