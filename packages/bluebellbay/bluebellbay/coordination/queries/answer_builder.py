"""Builds answers that carry no rows."""

from bluebellbay.protocol.answer import Answer
from bluebellbay.protocol.answer import build_failure
from bluebellbay.protocol.answer import build_not_run
from bluebellbay.protocol.error import FailedKind
from bluebellbay.protocol.error import NotRunKind
from bluebellbay.protocol.error import UnknownKind
from bluebellbay.protocol.proof import NotRunProof
from bluebellbay.protocol.request import QueryRequest
from bluebellbay.state.node import NodeState


class AnswerBuilder:
    """Builds error answers and adds the configuration's revision to them.

    :param state: The node's shared state.
    """

    def __init__(self, *, state: NodeState) -> None:
        self._state = state

    def build_not_run(
        self,
        request: QueryRequest,
        kind: NotRunKind,
        proof: NotRunProof,
        now: float,
    ) -> Answer:
        """Build the answer to a request that did not run at all.

        :param request: The request.
        :param kind: The error kind.
        :param proof: Evidence that no leg of it ran.
        :param now: Current Unix time in seconds.
        :returns: The answer.
        """
        return build_not_run(
            kind,
            proof,
            request_id=request.request_id,
            profile=request.profile,
            config_revision=self._state.configuration.revision,
            config_confirmed=self.is_confirmed(now),
        )

    def build_failure(
        self,
        request: QueryRequest,
        kind: FailedKind | UnknownKind,
        now: float,
    ) -> Answer:
        """Build the answer to a request that may have run in part.

        :param request: The request.
        :param kind: The error kind.
        :param now: Current Unix time in seconds.
        :returns: The answer.
        """
        return build_failure(
            kind,
            request_id=request.request_id,
            profile=request.profile,
            config_revision=self._state.configuration.revision,
            config_confirmed=self.is_confirmed(now),
        )

    def is_confirmed(self, now: float) -> bool:
        """Check whether the configuration was confirmed within ``confirm_s``.

        :param now: Current Unix time in seconds.
        :returns: Whether it was.
        """
        return self._state.configuration.is_confirmed(
            now=now, max_age_s=self._state.settings.fleet.confirm_s
        )
