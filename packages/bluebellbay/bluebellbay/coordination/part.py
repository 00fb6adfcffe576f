"""Base class of the parts of the core for queries over key ranges."""

import abc

from bluebellbay.coordination.base_part import BasePart
from bluebellbay.coordination.base_part import Output
from bluebellbay.state.node import NodeState

__all__ = ("Output", "Part")


class Part(BasePart, abc.ABC):
    """A part of the core for queries over key ranges.

    :param state: State of the node, shared by all its parts.
    """

    def __init__(self, *, state: NodeState) -> None:
        self.state = state
