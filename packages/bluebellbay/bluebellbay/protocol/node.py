"""Entries that nodes write to the platform's store."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeEntry:
    """Entry of one node.

    :param name: Name of the node.
    :param address: ``host:port`` for its peers; empty if the entry could not
        be decoded.
    :param failure_domain: Its failure domain.
    :param version: Version of the configuration that was in force there when
        it wrote the entry; 0 if none was.
    """

    name: str
    address: str
    failure_domain: str
    version: int = 0
