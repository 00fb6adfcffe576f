"""Tracks the nodes that may hold connections to backend servers.

Every node divides each server's connection limit by at least the number of
nodes that may hold connections, so that the sum of the shares never exceeds
the limit. Two rules ensure this:

- Every admitted node counts every other admitted node. A node is admitted
  once every node that it knows counts it and has reduced its connections to
  the smaller shares. While there are no more nodes than the settings
  configure, silent nodes need not confirm. In both cases one of the
  confirmations must come from an admitted node, in the second case from one
  whose settings configure the new node too, as an admitted node knows the
  nodes that held connections before. Without such a confirmation, the node
  waits until the connections of earlier nodes must have ended, and then
  reads the platform's VM list again.
- A node is removed only once it has reported that its connections are
  closed, or once it has been both missing from the platform's VM list and
  silent for as long as the connections of a lost node may linger.
"""

import dataclasses

from bluebellbay.protocol.peer import FleetMember
from bluebellbay.protocol.peer import ShareNotice

UNKNOWN_TOKEN = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Member:
    """Another node of the group.

    :param token: Random number of its process; ``UNKNOWN_TOKEN`` until it
        is known.
    :param last_heard_at: Time in seconds of its last message, or when its
        silence began to count.
    :param unlisted_at: Time in seconds when the platform's VM list was
        first seen without it; none while it is listed.
    :param counts_this_node: Whether its last notice counts this process and
        its connections are within its shares.
    :param confirms: Whether it does so as an admitted node.
    :param confirms_expected: Whether it confirms and its settings configure
        this node.
    """

    token: int
    last_heard_at: float
    unlisted_at: float | None = None
    counts_this_node: bool = False
    confirms: bool = False
    confirms_expected: bool = False


class ShareGroup:
    """The nodes among which this node divides the connection limits.

    :param name: Name of this node.
    :param token: Random number of this process.
    :param configured: Names of the entry VMs in the settings.
    :param linger_s: Time in seconds until a lost node's connections must
        have ended.
    :ivar admitted: Whether this node may hold connections.
    """

    def __init__(
        self,
        *,
        name: str,
        token: int,
        configured: frozenset[str],
        linger_s: float,
    ) -> None:
        self.admitted = False
        self._name = name
        self._token = token
        self._configured_size = len(configured | {name})
        self._min_configured_size = self._configured_size
        self._linger_s = linger_s
        self._started_at: float | None = None
        self._list_read_at: float | None = None
        self._members = {
            other: _Member(token=UNKNOWN_TOKEN, last_heard_at=0.0)
            for other in configured - {name}
        }
        self._removed_tokens: dict[str, set[int]] = {}
        self._stopped_processes: set[FleetMember] = set()
        self._stopped_still_listed: set[str] = set()

    @property
    def divisor(self) -> int:
        """Number of nodes that each connection limit is divided by."""
        return max(self._configured_size, 1 + len(self._members))

    def list_other_names(self) -> tuple[str, ...]:
        """List the names of the other counted nodes, sorted."""
        return tuple(sorted(self._members))

    def list_counted(self) -> tuple[FleetMember, ...]:
        """List all counted nodes, this one first."""
        others = tuple(
            FleetMember(name=name, token=self._members[name].token)
            for name in self.list_other_names()
        )
        return (FleetMember(name=self._name, token=self._token), *others)

    def start(self, now: float) -> None:
        """Set the start time, from which silence is measured.

        Calls after the first have no effect.

        :param now: Current Unix time in seconds.
        """
        if self._started_at is not None:
            return
        self._started_at = now
        for member in self._members.values():
            member.last_heard_at = now

    def apply_vm_list(self, names: frozenset[str], now: float) -> None:
        """Add listed nodes; remove those unlisted and silent for too long.

        :param names: Names of the entry VMs on the platform's VM list.
        :param now: Current Unix time in seconds.
        """
        self._list_read_at = now
        self._stopped_still_listed &= names
        for name in names - self._stopped_still_listed - {self._name}:
            self._get_or_add(name, UNKNOWN_TOKEN, now)
        for name, member in self._members.items():
            if name in names:
                member.unlisted_at = None
            elif member.unlisted_at is None:
                member.unlisted_at = now
        self._remove_lost(now)

    def apply_notice(
        self, sender: str, notice: ShareNotice, now: float
    ) -> None:
        """Update the group from the nodes that another node counts.

        A notice of a process that has stopped is ignored.

        :param sender: Name of the sending node.
        :param notice: Its notice.
        :param now: Current Unix time in seconds.
        """
        if (
            FleetMember(name=sender, token=notice.token)
            in self._stopped_processes
        ):
            return
        member = self._get_or_add(sender, notice.token, now)
        if member.token != notice.token:
            member.token = notice.token
            member.counts_this_node = False
        member.last_heard_at = now
        self._min_configured_size = min(self._min_configured_size, notice.size)
        for other in notice.counted:
            if other.name != self._name and not self._is_removed(other):
                self._get_or_add(other.name, other.token, now)
        this_process = FleetMember(name=self._name, token=self._token)
        counts_this_node = notice.settled and this_process in notice.counted
        member.counts_this_node = counts_this_node
        member.confirms = counts_this_node and notice.admitted
        member.confirms_expected = member.confirms and notice.expected

    def remove_stopped(self, sender: str, token: int) -> None:
        """Remove a node that reports that its connections are closed.

        The report is ignored if another process of that node is counted.

        :param sender: Name of the node.
        :param token: Random number of its process.
        """
        member = self._members.get(sender)
        if member is None or member.token not in (token, UNKNOWN_TOKEN):
            return
        del self._members[sender]
        self._removed_tokens.setdefault(sender, set()).add(token)
        self._stopped_processes.add(FleetMember(name=sender, token=token))
        # The platform's VM list may still contain the node for a while.
        self._stopped_still_listed.add(sender)

    def record_heard(self, sender: str, now: float) -> None:
        """Record the time of a node's latest message.

        :param sender: Name of the node; ignored if it is not counted.
        :param now: Current Unix time in seconds.
        """
        member = self._members.get(sender)
        if member is not None:
            member.last_heard_at = now

    def try_admit(self, now: float) -> bool:
        """Admit this node if the conditions are met; this is permanent.

        :param now: Current Unix time in seconds.
        :returns: Whether this node may hold connections.
        """
        if not self.admitted:
            self.admitted = self._may_be_admitted(now)
        return self.admitted

    def _get_or_add(self, name: str, token: int, now: float) -> _Member:
        member = self._members.get(name)
        if member is None:
            member = _Member(token=token, last_heard_at=now)
            self._members[name] = member
        return member

    def _remove_lost(self, now: float) -> None:
        for name, member in tuple(self._members.items()):
            if member.unlisted_at is None:
                continue
            silent_since = max(member.unlisted_at, member.last_heard_at)
            if now - silent_since >= self._linger_s:
                del self._members[name]
                self._removed_tokens.setdefault(name, set()).add(member.token)

    def _is_removed(self, member: FleetMember) -> bool:
        tokens = self._removed_tokens.get(member.name)
        if tokens is None or member.name in self._members:
            return False
        return member.token == UNKNOWN_TOKEN or member.token in tokens

    def _may_be_admitted(self, now: float) -> bool:
        if self._list_read_at is None or self._started_at is None:
            return False
        members = self._members.values()
        linger_elapsed = (
            self._list_read_at >= self._started_at + self._linger_s
        )
        confirmed = linger_elapsed or any(
            member.confirms for member in members
        )
        counted = all(member.counts_this_node for member in members)
        if counted and confirmed:
            return True
        if 1 + len(self._members) > self._min_configured_size:
            return False
        return linger_elapsed or any(
            member.confirms_expected for member in members
        )
