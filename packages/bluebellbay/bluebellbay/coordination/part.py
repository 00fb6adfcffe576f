"""The base class of the parts that decide on queries over key ranges."""

import abc

from bluebellbay.coordination.base_part import BasePart
from bluebellbay.coordination.base_part import Output
from bluebellbay.state.node import NodeState

__all__ = ("Output", "Part")


class Part(BasePart, abc.ABC):
    """One kind of decision on queries over key ranges.

    :param state: The node's shared state.
    """

    def __init__(self, *, state: NodeState) -> None:
        self.state = state
