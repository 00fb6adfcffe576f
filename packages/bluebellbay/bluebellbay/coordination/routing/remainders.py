"""Delegated queries that were answered in part."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bluebellbay.coordination.routing.delegated_scatter import (
        DelegatedScatterTask,
    )


class RemainderTable:
    """Delegated queries with pending shards, by number of the exchange."""

    def __init__(self) -> None:
        self._by_exchange: dict[int, DelegatedScatterTask] = {}

    def add(self, task: "DelegatedScatterTask") -> None:
        """Keep a query until it is resumed or ends.

        :param task: The query.
        """
        self._by_exchange[task.exchange] = task

    def remove(self, task: "DelegatedScatterTask") -> None:
        """Forget a query that has ended.

        :param task: The query.
        """
        del self._by_exchange[task.exchange]

    def take(
        self, exchange: int, request_id: str
    ) -> "DelegatedScatterTask | None":
        """Return and forget a query.

        :param exchange: Exchange that was answered in part.
        :param request_id: Id of the caller's request. It does not name the
            query alone, as a caller may use an id twice.
        :returns: The query; ``None`` if it has ended or is unknown.
        """
        task = self._by_exchange.get(exchange)
        if task is None or task.request.request_id != request_id:
            return None
        return self._by_exchange.pop(exchange)
