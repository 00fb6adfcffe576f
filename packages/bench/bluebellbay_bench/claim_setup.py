"""What is tried with claims, and what is counted of it."""

import dataclasses
from typing import Final

START_S: Final = 1_000_000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimSetup:
    """One way to keep claims, and the load that it is tried under.

    :param buckets: Number of keys that the claims are spread over.
    :param record_delay_s: Time in seconds that an outcome record waits.
    :param nodes: Number of nodes.
    :param rate: Claims a second, over all nodes.
    :param standing: Claims that stand in the store from the start.
    :param seed: Seed of the draws.
    """

    buckets: int
    record_delay_s: float = 0.0
    nodes: int = 4
    rate: float = 100.0
    standing: int = 0
    seed: int = 1


@dataclasses.dataclass(slots=True, kw_only=True)
class ClaimCounts:
    """What one run came to.

    :param offered: Attempts made.
    :param granted: Time from request to grant in seconds, by request id.
    :param recorded: Time from request to record in seconds, by request id.
    :param doubled: Requests granted more than once.
    :param held: Attempts that met another's claim.
    :param refused: Attempts that the store did not take in time.
    :param reads: Read calls.
    :param writes: Write calls, with those that were refused or conflicted.
    :param conflicts: Writes that found another version.
    :param limited: Calls refused over the rate.
    :param written_bytes: Bytes of all write calls.
    """

    offered: int = 0
    granted: dict[str, float] = dataclasses.field(default_factory=dict)
    recorded: dict[str, float] = dataclasses.field(default_factory=dict)
    doubled: int = 0
    held: int = 0
    refused: int = 0
    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    limited: int = 0
    written_bytes: int = 0
