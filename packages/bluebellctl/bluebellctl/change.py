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

from bluebellbay.coordination.configurations.change import build_next
from bluebellbay.coordination.configurations.change import Change
from bluebellbay.coordination.configurations.change import ChangeOutcome
from bluebellbay.coordination.configurations.change import describe_change
from bluebellbay.coordination.configurations.change import find_base
from bluebellbay.coordination.configurations.change import judge_change
from bluebellbay.coordination.configurations.change import list_foreign_changes
from bluebellbay.protocol.codec import decode_json
from bluebellbay.protocol.codec import encode_json
from bluebellbay.protocol.configuration import CONFIGURATION_KEY
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.event import KeyConflict
from bluebellbay.protocol.event import KeyRead
from bluebellbay.protocol.event import KeyWritten
from bluebellbay.protocol.event import StoreFailed
from bluebellbay.settings import Settings
from bluebellctl.exit_code import ExitCode
from bluebellctl.fleet import EntryVmStatus
from bluebellctl.fleet import fetch_highest_configuration
from bluebellctl.fleet import fetch_statuses
from bluebellctl.report import Report
from bluebellctl.report import Table
from bluebellctl.store import OperatorStore

ChangeBuilder = Callable[[ConfigurationDocument | None], Change]

READ_BACK_ATTEMPTS = 5
READ_BACK_INTERVAL_S = 0.5
CONFIRMATION_POLL_INTERVAL_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredConfiguration:
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
class _ChangeAttempt:
    settings: Settings
    change: Change
    # What the write expects to stand; an entry VM may know a later one.
    expected: ConfigurationDocument | None
    document: ConfigurationDocument
    wait_s: float


def decode_stored_configuration(
    value: bytes | None, version: int
) -> Result[StoredConfiguration, Report]:
    """Read the store's value as a configuration.

    :param value: The value; none if the key is absent.
    :param version: The store's version of the key.
    :returns: What is stored, or the report that it can't be read.
    """
    if value is None:
        return Ok(StoredConfiguration(document=None, version=version))
    result = decode_json(value, ConfigurationDocument)
    if result.is_error():
        return Error(
            Report(
                code=ExitCode.FAILURE,
                message="The store's configuration can't be read: "
                f"{result.error.reason}",
            )
        )
    return Ok(StoredConfiguration(document=result.ok, version=version))


async def read_stored_configuration(
    store: OperatorStore,
) -> Result[StoredConfiguration, Report]:
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
    return decode_stored_configuration(event.value, event.version)


async def make_change(
    settings: Settings, build_change: ChangeBuilder, *, wait_s: float
) -> Report:
    """Make a change, settle what became of it, and wait until in force.

    :param settings: Where the store and the entry VMs are.
    :param build_change: Says what to change of the document that stands.
    :param wait_s: Seconds to wait until it is in force everywhere.
    :returns: The report.
    """
    store = OperatorStore(settings=settings.platform)
    stored = await read_stored_configuration(store)
    if stored.is_error():
        message = f"{stored.error.message} Nothing was changed."
        return dataclasses.replace(stored.error, message=message)
    highest_in_force = await fetch_highest_configuration(settings)
    base = find_base(stored.ok.document, highest_in_force)
    change = build_change(base)
    build_result = build_next(
        base, change, change_id=uuid.uuid4().hex, author=getpass.getuser()
    )
    if build_result.is_error():
        return Report(
            code=ExitCode.FAILURE,
            message=f"{build_result.error.reason} Nothing was changed.",
        )
    attempt = _ChangeAttempt(
        settings=settings,
        change=change,
        expected=stored.ok.document,
        document=build_result.ok,
        wait_s=wait_s,
    )
    event = await store.write(
        CONFIGURATION_KEY,
        value=encode_json(build_result.ok),
        expected_version=stored.ok.version,
    )
    if isinstance(event, KeyWritten):
        return await _await_confirmation(attempt)
    if isinstance(event, StoreFailed) and not event.sent:
        return Report(
            code=ExitCode.UNREACHABLE,
            message="The store can't be reached. Nothing was changed.",
        )
    return await _resolve_outcome(attempt, await _read_back(store, event))


async def _read_back(
    store: OperatorStore, event: object
) -> Result[StoredConfiguration, Report]:
    if isinstance(event, KeyConflict):
        return decode_stored_configuration(event.value, event.version)
    found = await read_stored_configuration(store)
    for _ in range(READ_BACK_ATTEMPTS - 1):
        if found.is_ok():
            break
        await deferLater(reactor, READ_BACK_INTERVAL_S)
        found = await read_stored_configuration(store)
    return found


async def _resolve_outcome(
    attempt: _ChangeAttempt, found: Result[StoredConfiguration, Report]
) -> Report:
    if found.is_error():
        return _report_unknown_outcome(attempt)
    outcome = judge_change(attempt.document, found.ok.document)
    if outcome in (ChangeOutcome.STANDS, ChangeOutcome.SUPERSEDED):
        return await _await_confirmation(attempt)
    if outcome is ChangeOutcome.UNKNOWN:
        return _report_unknown_outcome(attempt)
    return _report_conflict(attempt, found.ok.document)


def _report_unknown_outcome(attempt: _ChangeAttempt) -> Report:
    return Report(
        code=ExitCode.OUTCOME_UNKNOWN,
        message="It is unknown whether the change was made. Look with "
        "'profile list' or 'vm list' before making it again.",
        data=_build_change_report(attempt, "unknown", made=False),
    )


def _report_conflict(
    attempt: _ChangeAttempt, found: ConfigurationDocument | None
) -> Report:
    foreign_changes = (
        list_foreign_changes(attempt.expected, found) if found else ()
    )
    lines = [
        "Not made: another change came first, or the write was lost.",
        *(
            f"Revision {note.revision} by {note.author}: {note.summary}"
            for note in foreign_changes
        ),
    ]
    return Report(
        code=ExitCode.CONFLICT,
        message="\n".join(lines),
        data=_build_change_report(attempt, "not-made", made=False),
    )


def _build_change_report(
    attempt: _ChangeAttempt,
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


def report_domains(
    entry_vms: tuple[EntryVmStatus, ...], revision: int
) -> tuple[DomainReport, ...]:
    """Say for each failure domain whether a revision is in force.

    :param entry_vms: What the entry VMs told.
    :param revision: The revision.
    :returns: One report a failure domain, by name.
    """
    reports = []
    for domain in sorted({entry_vm.failure_domain for entry_vm in entry_vms}):
        domain_vms = [
            item for item in entry_vms if item.failure_domain == domain
        ]
        confirmed = tuple(
            item.name
            for item in domain_vms
            if item.status and item.status.config_revision >= revision
        )
        missing = tuple(
            item.name for item in domain_vms if item.name not in confirmed
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


async def _await_confirmation(attempt: _ChangeAttempt) -> Report:
    revision = attempt.document.revision
    domains = await _poll_confirmations(
        attempt.settings, revision, attempt.wait_s
    )
    all_confirmed = not any(domain.not_confirmed for domain in domains)
    confirmation = "in force" if all_confirmed else "not confirmed"
    return Report(
        code=ExitCode.SUCCESS if all_confirmed else ExitCode.NOT_CONFIRMED,
        message=f"Made as revision {revision}, {confirmation} everywhere.",
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
        data=_build_change_report(attempt, "made", made=True, domains=domains),
    )


async def _poll_confirmations(
    settings: Settings, revision: int, wait_s: float
) -> tuple[DomainReport, ...]:
    deadline = time.monotonic() + wait_s
    domains = report_domains(await fetch_statuses(settings), revision)
    while any(domain.not_confirmed for domain in domains):
        if time.monotonic() >= deadline:
            break
        await deferLater(reactor, CONFIRMATION_POLL_INTERVAL_S)
        domains = report_domains(await fetch_statuses(settings), revision)
    return domains
