"""Seeded draws that depend only on what they are for.

Every policy meets the same draws, whatever legs it sends and in whatever
order, so that policies and the clairvoyant bound can be compared.
"""

import hashlib
import statistics

_NORMAL = statistics.NormalDist()
_SCALE = 2.0**-64


class Draws:
    """Draws of one run.

    :param seed: Seed of the run.
    """

    def __init__(self, *, seed: int) -> None:
        self._key = str(seed).encode()

    def draw_uniform(self, *labels: object) -> float:
        """Draw from the open interval (0, 1).

        :param labels: What the draw is for.
        :returns: The same number for the same labels.
        """
        text = "\x00".join(map(str, labels)).encode()
        digest = hashlib.blake2b(text, digest_size=8, key=self._key).digest()
        return (int.from_bytes(digest) + 0.5) * _SCALE

    def draw_normal(self, *labels: object) -> float:
        """Draw from the standard normal distribution.

        :param labels: What the draw is for.
        :returns: The same number for the same labels.
        """
        return _NORMAL.inv_cdf(self.draw_uniform(*labels))
