"""What a node says of itself in the platform's store."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeEntry:
    """One node as its entry describes it.

    :param name: Name of the node.
    :param address: ``host:port`` for its peers; empty if it can't be read.
    :param failure_domain: Where it runs.
    """

    name: str
    address: str
    failure_domain: str
