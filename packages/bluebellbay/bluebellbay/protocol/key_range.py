"""Half-open ranges of the key space over which snapshots are sharded."""

import dataclasses

KEY_SPACE_END = 2**32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class KeyRange:
    """A half-open range ``[start, end)`` of the key space ``[0, 2^32)``.

    :param start: First key of the range.
    :param end: First key after the range; greater than ``start``.
    :raises ValueError: If the range is empty or exceeds the key space.
    """

    start: int
    end: int

    def __post_init__(self) -> None:
        if not 0 <= self.start < self.end <= KEY_SPACE_END:
            raise ValueError(f"invalid key range [{self.start}, {self.end})")


FULL_KEY_RANGE = KeyRange(start=0, end=KEY_SPACE_END)
