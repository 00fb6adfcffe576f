"""Limits on how old a node's knowledge of the store may be."""

import dataclasses

# Part of each limit for what is on its way: a call, or a request.
SEND_MARGIN_S = 0.2
# An entry lapses after this many heartbeats in a row are missing.
LAPSE_HEARTBEATS = 3
# Replicas rewrite entries that lapsed in an outage of the store within 2 s.
REGISTRATION_S = 2.0
# A node pauses between two calls that tell changes, the longer the more nodes
# there are, up to a share of the time in which a change must take effect.
PAUSE_S_PER_NODE = 0.1
MAX_PAUSE_RATIO = 0.4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreAllowance:
    """Limits on how old a node's knowledge of the store may be.

    :param change_limit_s: Time in seconds within which any change takes
        effect, once the store has accepted it.
    :param removal_limit_s: Time in seconds after which a replica gets no
        request, once the store has accepted that its entry is gone.
    :param recovery_limit_s: Time in seconds after an outage, or a fault of the
        connections to the store, from which these limits hold again.
    :param heartbeat_s: Time in seconds between two writes of a replica to its
        entry.
    """

    change_limit_s: float = 3.0
    removal_limit_s: float = 3.0
    recovery_limit_s: float = 4.0
    heartbeat_s: float = 1.2

    @property
    def removal_delay_s(self) -> float:
        """Seconds for which a replica without an entry may be kept."""
        return max(0.0, self.removal_limit_s - SEND_MARGIN_S)

    @property
    def recovery_delay_s(self) -> float:
        """Seconds for which a replica may be kept after an outage's end."""
        return max(0.0, self.recovery_limit_s - SEND_MARGIN_S)

    @property
    def lapse_s(self) -> float:
        """Seconds of the shortest outage in which entries may lapse.

        A replica's last write is up to one heartbeat older than the outage.
        """
        return (LAPSE_HEARTBEATS - 1) * self.heartbeat_s

    def compute_proof_delay(self, nodes: int) -> float:
        """Compute how long after a restore an entry may be of a gone replica.

        It lapses without heartbeats, and that is read.

        :param nodes: Number of nodes that call the store.
        :returns: Seconds from the store's first answer to the node.
        """
        lapse_s = LAPSE_HEARTBEATS * self.heartbeat_s
        return lapse_s + self.compute_registration_grace(nodes)

    def compute_pause(self, nodes: int) -> float:
        """Compute the pause between two calls that tell changes.

        :param nodes: Number of nodes that call the store.
        :returns: Pause in seconds.
        """
        return min(
            MAX_PAUSE_RATIO * self.change_limit_s, PAUSE_S_PER_NODE * nodes
        )

    def compute_registration_grace(self, nodes: int) -> float:
        """Compute how long an entry that lapsed in an outage may be missing.

        :param nodes: Number of nodes that call the store.
        :returns: Seconds from the store's first answer to the node until the
            entry has been written again and read.
        """
        return REGISTRATION_S + self.compute_pause(nodes) + SEND_MARGIN_S
