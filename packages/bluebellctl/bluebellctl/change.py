"""Makes a change of the configuration and says what became of it."""

from collections.abc import Callable
import dataclasses
import getpass
import time
import uuid

from expression import Error
from expression import Ok
from expression import Result
from twisted.internet import reactor
from twisted.internet.task import deferLater

from bluebellbay.coordination.configurations.change import apply_change
from bluebellbay.coordination.configurations.change import build_base
from bluebellbay.coordination.configurations.change import Change
from bluebellbay.coordination.configurations.change import ChangeOutcome
from bluebellbay.coordination.configurations.change import describe_change
from bluebellbay.coordination.configurations.change import determine_outcome
from bluebellbay.coordination.configurations.change import list_changes_since
from bluebellbay.protocol.codec import decode_json
from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.configuration import CONFIGURATION_KEY
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.event import KeyConflict
from bluebellbay.protocol.event import KeyRead
from bluebellbay.protocol.event import KeyWritten
from bluebellbay.protocol.event import StoreCallFailed
from bluebellbay.settings import Settings
from bluebellctl.exit_code import ExitCode
from bluebellctl.fleet import ask_highest_configuration
from bluebellctl.fleet import ask_statuses
from bluebellctl.fleet import NodeAnswer
from bluebellctl.report import Report
from bluebellctl.report import Table
from bluebellctl.store import OperatorStore

Plan = Callable[[ConfigurationDocument | None], Change]

READ_BACK_TRIES = 5
READ_BACK_PAUSE_S = 0.5
CONFIRM_PAUSE_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stored:
    """What the store holds.

    :param document: The configuration; none if there is none yet.
    :param version: The store's version of the key.
    """

    document: ConfigurationDocument | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainReport:
    """Whether a revision is in force in one failure domain.

    :param failure_domain: Name of the failure domain.
    :param state: ``in force`` only if every VM of it said so.
    :param confirmed: Names of the VMs that said so.
    :param not_confirmed: Names of the VMs that did not, or not in time.
    """

    failure_domain: str
    state: str
    confirmed: tuple[str, ...]
    not_confirmed: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeReport:
    """What became of a change.

    :param change: What was asked for.
    :param change_id: Its random id.
    :param revision: The revision that it made; 0 if it made none.
    :param outcome: What became of it.
    :param domains: Whether it is in force, by failure domain.
    """

    change: str
    change_id: str
    revision: int
    outcome: str
    domains: tuple[DomainReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Attempt:
    settings: Settings
    change: Change
    # What the write expects to stand; an entry VM may know a later one.
    expected: ConfigurationDocument | None
    document: ConfigurationDocument
    wait_s: float


def read_document(value: bytes | None, version: int) -> Result[Stored, Report]:
    """Read the store's value as a configuration.

    :param value: The value; none if the key is absent.
    :param version: The store's version of the key.
    :returns: What is stored, or the report that it can't be read.
    """
    if value is None:
        return Ok(Stored(document=None, version=version))
    result = decode_json(value, ConfigurationDocument)
    if result.is_error():
        return Error(
            Report(
                code=ExitCode.FAULT,
                message="The store's configuration can't be read: "
                f"{result.error.reason}",
            )
        )
    return Ok(Stored(document=result.ok, version=version))


async def read_stored(store: OperatorStore) -> Result[Stored, Report]:
    """Read the configuration from the store.

    :param store: The store.
    :returns: What is stored, or the report that it can't be reached.
    """
    event = await store.read(CONFIGURATION_KEY)
    if not isinstance(event, KeyRead):
        return Error(
            Report(
                code=ExitCode.UNREACHABLE,
                message="The store can't be reached.",
            )
        )
    return read_document(event.value, event.version)


async def make_change(
    settings: Settings, plan: Plan, *, wait_s: float
) -> Report:
    """Make a change, settle what became of it, and wait until in force.

    :param settings: Where the store and the entry VMs are.
    :param plan: Says what to change of the document that stands.
    :param wait_s: Seconds to wait until it is in force everywhere.
    :returns: The report.
    """
    store = OperatorStore(settings=settings.platform)
    stored = await read_stored(store)
    if stored.is_error():
        message = f"{stored.error.message} Nothing was changed."
        return dataclasses.replace(stored.error, message=message)
    known = await ask_highest_configuration(settings)
    base = build_base(stored.ok.document, known)
    change = plan(base)
    built = apply_change(
        base, change, change_id=uuid.uuid4().hex, author=getpass.getuser()
    )
    if built.is_error():
        return Report(
            code=ExitCode.FAULT,
            message=f"{built.error.reason} Nothing was changed.",
        )
    attempt = _Attempt(
        settings=settings,
        change=change,
        expected=stored.ok.document,
        document=built.ok,
        wait_s=wait_s,
    )
    event = await store.write(
        CONFIGURATION_KEY,
        value=encode_json(built.ok),
        expected_version=stored.ok.version,
    )
    if isinstance(event, KeyWritten):
        return await _confirm(attempt)
    if isinstance(event, StoreCallFailed) and not event.sent:
        return Report(
            code=ExitCode.UNREACHABLE,
            message="The store can't be reached. Nothing was changed.",
        )
    return await _settle(attempt, await _read_back(store, event))


async def _read_back(
    store: OperatorStore, event: object
) -> Result[Stored, Report]:
    if isinstance(event, KeyConflict):
        return read_document(event.value, event.version)
    found = await read_stored(store)
    for _ in range(READ_BACK_TRIES - 1):
        if found.is_ok():
            break
        await deferLater(reactor, READ_BACK_PAUSE_S)
        found = await read_stored(store)
    return found


async def _settle(attempt: _Attempt, found: Result[Stored, Report]) -> Report:
    if found.is_error():
        return _report_unknown(attempt)
    outcome = determine_outcome(attempt.document, found.ok.document)
    if outcome in (ChangeOutcome.LATEST, ChangeOutcome.SUPERSEDED):
        return await _confirm(attempt)
    if outcome is ChangeOutcome.UNKNOWN:
        return _report_unknown(attempt)
    return _report_conflict(attempt, found.ok.document)


def _report_unknown(attempt: _Attempt) -> Report:
    return Report(
        code=ExitCode.UNKNOWN,
        message="It is unknown whether the change was made. Look with "
        "'profile list' or 'vm list' before making it again.",
        data=_describe(attempt, "unknown", made=False),
    )


def _report_conflict(
    attempt: _Attempt, found: ConfigurationDocument | None
) -> Report:
    foreign = list_changes_since(attempt.expected, found) if found else ()
    lines = [
        "Not made: another change came first, or the write was lost.",
        *(
            f"Revision {note.revision} by {note.author}: {note.summary}"
            for note in foreign
        ),
    ]
    return Report(
        code=ExitCode.CONFLICT,
        message="\n".join(lines),
        data=_describe(attempt, "not-made", made=False),
    )


def _describe(
    attempt: _Attempt,
    outcome: str,
    *,
    made: bool,
    domains: tuple[DomainReport, ...] = (),
) -> ChangeReport:
    return ChangeReport(
        change=describe_change(attempt.change),
        change_id=attempt.document.change_id,
        revision=attempt.document.revision if made else 0,
        outcome=outcome,
        domains=domains,
    )


def group_domains(
    answers: tuple[NodeAnswer, ...], revision: int
) -> tuple[DomainReport, ...]:
    """Say for each failure domain whether a revision is in force.

    :param answers: What the entry VMs told.
    :param revision: The revision.
    :returns: One report a failure domain, by name.
    """
    reports = []
    for domain in sorted({answer.failure_domain for answer in answers}):
        members = [item for item in answers if item.failure_domain == domain]
        confirmed = tuple(
            item.name
            for item in members
            if item.status and item.status.config_revision >= revision
        )
        missing = tuple(
            item.name for item in members if item.name not in confirmed
        )
        reports.append(
            DomainReport(
                failure_domain=domain,
                state="not confirmed" if missing else "in force",
                confirmed=confirmed,
                not_confirmed=missing,
            )
        )
    return tuple(reports)


async def _confirm(attempt: _Attempt) -> Report:
    revision = attempt.document.revision
    domains = await _wait_for(attempt.settings, revision, attempt.wait_s)
    everywhere = not any(domain.not_confirmed for domain in domains)
    rest = "in force" if everywhere else "not confirmed"
    return Report(
        code=ExitCode.DONE if everywhere else ExitCode.NOT_CONFIRMED,
        message=f"Made as revision {revision}, {rest} everywhere.",
        table=Table(
            headings=("failure domain", "state", "not confirmed by"),
            rows=tuple(
                (
                    domain.failure_domain,
                    domain.state,
                    ", ".join(domain.not_confirmed),
                )
                for domain in domains
            ),
        ),
        data=_describe(attempt, "made", made=True, domains=domains),
    )


async def _wait_for(
    settings: Settings, revision: int, wait_s: float
) -> tuple[DomainReport, ...]:
    give_up_at = time.monotonic() + wait_s
    domains = group_domains(await ask_statuses(settings), revision)
    while any(domain.not_confirmed for domain in domains):
        if time.monotonic() >= give_up_at:
            break
        await deferLater(reactor, CONFIRM_PAUSE_S)
        domains = group_domains(await ask_statuses(settings), revision)
    return domains
