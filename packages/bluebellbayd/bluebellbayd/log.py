"""Structured log lines whose event text starts with the part's name."""

from collections.abc import MutableMapping
import logging
import sys
from typing import Any

import msgspec
import structlog

from bluebellbay.protocol.process import LogDecision

_ENCODER = msgspec.json.Encoder(enc_hook=str)
_LOGGER = structlog.get_logger()


def configure_log(*, form: str, node: str, file: Any = None) -> None:
    """Configure structlog for this process.

    :param form: ``console`` for readable lines on standard error, or
        ``json``.
    :param node: Name of this node, added to each JSON line as ``node``.
    :param file: Binary file that JSON lines are written to; standard error
        by default. Not used by ``console``.
    """
    as_json = form == "json"
    renderer: Any = (
        structlog.processors.JSONRenderer(serializer=_encode_json_line)
        if as_json
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    factory: Any = (
        structlog.BytesLoggerFactory(file=file or sys.stderr.buffer)
        if as_json
        else structlog.WriteLoggerFactory(file=sys.stderr)
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _prefix_event,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=factory,
        cache_logger_on_first_use=True,
    )
    if as_json:
        structlog.contextvars.bind_contextvars(node=node)


def log_decision(decision: LogDecision) -> None:
    """Log a decision of the core at level info.

    :param decision: The decision; its sentence becomes the event text.
    """
    fields = {field.name: field.value for field in decision.fields}
    if decision.request_id:
        fields["request_id"] = decision.request_id
    _LOGGER.info(decision.sentence, part=decision.part, **fields)


def _encode_json_line(line: Any, **options: Any) -> bytes:
    del options
    return _ENCODER.encode(line)


def _prefix_event(
    logger: Any, method: str, line: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    part = line.pop("part", "daemon")
    line["event"] = f"{part}: {line['event']}"
    return line
