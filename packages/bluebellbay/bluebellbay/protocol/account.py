"""Client accounts and their limits."""

import msgspec


# Thousands are built while the event loop waits. A data class takes longer to
# build, and the collector would scan its objects for cycles.
class ClientAccount(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """A client account of the operators' configuration.

    :param name: Name, which replicas are told.
    :param keys: API keys of its callers; secret, so not in the ``repr``.
    :param rank: Priority of its requests, 0 is the highest; ``None`` if that
        of the route applies.
    :param rate_per_s: Requests allowed per second over all nodes; 0 for no
        limit.
    :param burst: Requests allowed on top of the rate.
    """

    name: str
    keys: tuple[str, ...] = ()
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    def __repr__(self) -> str:
        """Describe the account without its keys."""
        return (
            f"ClientAccount(name={self.name!r}, keys={len(self.keys)}, "
            f"rank={self.rank}, rate_per_s={self.rate_per_s}, "
            f"burst={self.burst})"
        )
