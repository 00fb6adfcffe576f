"""Rendezvous hashing: nodes agree on a ranking without communication."""

from collections.abc import Iterable
import functools
import hashlib

DIGEST_BYTES = 8


@functools.lru_cache(maxsize=4096)
def hash_name(name: str) -> bytes:
    """Hash a name.

    :param name: The name.
    :returns: A digest that is the same at every node.
    """
    return hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).digest()


def rank_names(names: Iterable[str], key: str) -> tuple[str, ...]:
    """Rank names for a key; a name that is added or removed moves no others.

    :param names: The names.
    :param key: What the names are ranked for.
    :returns: The names, best first.
    """
    return tuple(sorted(names, key=lambda name: hash_name(f"{key} {name}")))
