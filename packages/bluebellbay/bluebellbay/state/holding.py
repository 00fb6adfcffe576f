"""The key ranges of snapshots that backend servers are assumed to hold."""

import dataclasses

from bluebellbay.protocol.key_range import FULL_KEY_RANGE
from bluebellbay.protocol.key_range import KEY_SPACE_END
from bluebellbay.protocol.key_range import KeyRange
from bluebellbay.protocol.leg import Holding
from bluebellbay.state.coverage import subtract_ranges

INITIAL_DENIAL_S = 1.0
MAX_DENIAL_S = 60.0
DISPROVED_DENIAL_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeldRange:
    """A key range of one snapshot that a server holds.

    :param server: Name of the server.
    :param service: Name of the server's service.
    :param key_range: The range.
    """

    server: str
    service: str
    key_range: KeyRange


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Denial:
    """A range that a server reported but then refused or left out of a reply.

    :param snapshot: The requested snapshot.
    :param key_range: The range that the server did not have.
    :param until: Time in seconds when the denial expires.
    :param duration_s: Duration of the denial in seconds; doubled when the
        same range is denied again after it has expired.
    """

    snapshot: int
    key_range: KeyRange
    until: float
    duration_s: float


class HoldingTable:
    """Assumed holdings of all servers of one index.

    The holdings come from the servers' health endpoints. Replies and
    refusals take precedence over them: a denied range is left out until the
    server's report on that snapshot changes or the denial expires. The
    duration of repeated denials grows exponentially from
    ``INITIAL_DENIAL_S`` to ``MAX_DENIAL_S``.

    :ivar version: Incremented on each change, so that callers can cache
        plans made from the table.
    """

    def __init__(self) -> None:
        self.version = 0
        self._by_server: dict[str, tuple[str, tuple[Holding, ...]]] = {}
        self._denials: dict[str, tuple[Denial, ...]] = {}
        self._next_expiry = float("inf")

    def set_holdings(
        self, *, server: str, service: str, holdings: tuple[Holding, ...]
    ) -> None:
        """Replace the reported holdings of a server.

        Holdings outside the key space or without a key are ignored. Denials
        are dropped for each snapshot whose holdings have changed.

        :param server: Name of the server.
        :param service: Name of the server's service.
        :param holdings: The holdings that the server reported.
        """
        valid = tuple(item for item in holdings if _is_valid(item))
        value = (service, valid)
        former = self._by_server.get(server)
        if former == value:
            return
        self._by_server[server] = value
        self.version += 1
        if former is None or server not in self._denials:
            return
        self._denials[server] = tuple(
            denial
            for denial in self._denials[server]
            if _select_snapshot(former[1], denial.snapshot)
            == _select_snapshot(valid, denial.snapshot)
        )

    def remove_server(self, server: str) -> None:
        """Remove a server and its denials, if it is known.

        :param server: Name of the server.
        """
        self._denials.pop(server, None)
        if self._by_server.pop(server, None) is not None:
            self.version += 1

    def record_denial(
        self, *, server: str, snapshot: int, key_range: KeyRange, now: float
    ) -> None:
        """Record that a server does not hold a range.

        This has no effect while a denial of the whole range is in force.

        :param server: Name of the server.
        :param snapshot: The requested snapshot.
        :param key_range: The range that the server did not have.
        :param now: Current time in seconds.
        """
        former = [
            denial
            for denial in self._denials.get(server, ())
            if denial.snapshot == snapshot
            and denial.key_range.start <= key_range.start
            and key_range.end <= denial.key_range.end
        ]
        if any(denial.until > now for denial in former):
            return
        longest_s = max((denial.duration_s for denial in former), default=0.0)
        duration_s = min(max(INITIAL_DENIAL_S, 2 * longest_s), MAX_DENIAL_S)
        denial = Denial(
            snapshot=snapshot,
            key_range=key_range,
            until=now + duration_s,
            duration_s=duration_s,
        )
        kept = (
            item
            for item in self._denials.get(server, ())
            if item not in former
        )
        self._denials[server] = (*kept, denial)
        self._next_expiry = min(self._next_expiry, denial.until)
        self.version += 1

    def record_snapshot_denial(
        self, *, server: str, snapshot: int, now: float
    ) -> None:
        """Record that a server holds no part of a snapshot.

        :param server: Name of the server.
        :param snapshot: The requested snapshot.
        :param now: Current time in seconds.
        """
        self.record_denial(
            server=server, snapshot=snapshot, key_range=FULL_KEY_RANGE, now=now
        )

    def expire_denials(self, now: float) -> None:
        """Increment the version if a denial has expired.

        Expired denials are kept, so that the next denial of the same range
        lasts longer.

        :param now: Current time in seconds.
        """
        if now < self._next_expiry:
            return
        self.version += 1
        self._next_expiry = min(
            (
                denial.until
                for denials in self._denials.values()
                for denial in denials
                if denial.until > now
            ),
            default=float("inf"),
        )

    def list_snapshots(self) -> tuple[int, ...]:
        """List the snapshots held by any server, denied or not.

        :returns: Numbers of the snapshots, newest first.
        """
        found = {
            holding.snapshot
            for _, holdings in self._by_server.values()
            for holding in holdings
        }
        return tuple(sorted(found, reverse=True))

    def list_ranges(
        self, snapshot: int, now: float = 0.0
    ) -> tuple[HeldRange, ...]:
        """List the ranges of a snapshot by server, without denied ones.

        :param snapshot: Number of the snapshot.
        :param now: Current time in seconds. Denials that expire after it
            apply; by default all do, the expired ones included.
        :returns: The ranges, in no particular order.
        """
        return tuple(
            HeldRange(server=server, service=service, key_range=key_range)
            for server, (service, holdings) in self._by_server.items()
            for holding in holdings
            if holding.snapshot == snapshot
            for key_range in self._list_undenied_ranges(server, holding, now)
        )

    def list_reporting_servers(self, start: int, end: int) -> tuple[str, ...]:
        """List the servers that report part of a range in any snapshot.

        Reports with denials are included, as holdings may be moving between
        servers. They are left out once repeated denials of the snapshot
        have reached a duration above ``DISPROVED_DENIAL_S``.

        :param start: First key of the range.
        :param end: First key after the range.
        :returns: Names of the servers.
        """
        return tuple(
            server
            for server, (_, holdings) in self._by_server.items()
            if any(
                item.start < end
                and start < item.end
                and not self._is_disproved(server, item)
                for item in holdings
            )
        )

    def _is_disproved(self, server: str, holding: Holding) -> bool:
        return any(
            denial.snapshot == holding.snapshot
            and denial.duration_s > DISPROVED_DENIAL_S
            for denial in self._denials.get(server, ())
        )

    def _list_undenied_ranges(
        self, server: str, holding: Holding, now: float
    ) -> tuple[KeyRange, ...]:
        reported_range = KeyRange(start=holding.start, end=holding.end)
        denials = self._denials.get(server)
        if not denials:
            return (reported_range,)
        denied = tuple(
            denial.key_range
            for denial in denials
            if denial.snapshot == holding.snapshot and denial.until > now
        )
        return subtract_ranges(reported_range, denied)


def _select_snapshot(
    holdings: tuple[Holding, ...], snapshot: int
) -> tuple[Holding, ...]:
    return tuple(item for item in holdings if item.snapshot == snapshot)


def _is_valid(holding: Holding) -> bool:
    return 0 <= holding.start < holding.end <= KEY_SPACE_END
