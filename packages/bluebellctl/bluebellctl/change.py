"""Changes the stored configuration and reports the outcome."""

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
    """The configuration as read from the store.

    :param document: The configuration, or ``None`` if none is stored yet.
    :param version: Version of the key in the store, for compare-and-swap.
    """

    document: ConfigurationDocument | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainReport:
    """Whether a revision is in force in one failure domain.

    :param failure_domain: Name of the failure domain.
    :param state: ``in force`` if every entry VM in the failure domain
        reported this revision or a higher one, else ``not confirmed``.
    :param confirmed: Names of the entry VMs that reported it.
    :param not_confirmed: Names of the entry VMs that reported a lower
        revision or did not respond in time.
    """

    failure_domain: str
    state: str
    confirmed: tuple[str, ...]
    not_confirmed: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeReport:
    """Outcome of a change, for the JSON output.

    :param change: The requested change in words, such as
        ``profile set batch``.
    :param change_id: Random id of the change.
    :param revision: Revision that the change created; 0 if it created none
        or if that is unknown.
    :param outcome: ``made``, ``not-made`` or ``unknown``.
    :param domains: Whether it is in force, by failure domain; empty unless
        ``outcome`` is ``made``.
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
    # Document in the store before the write. An entry VM may have a later
    # one in force.
    expected: ConfigurationDocument | None
    document: ConfigurationDocument
    wait_s: float


def decode_stored_configuration(
    value: bytes | None, version: int
) -> Result[StoredConfiguration, Report]:
    """Decode the configuration from the value of its key in the store.

    :param value: The value, or ``None`` if the key is absent.
    :param version: Version of the key in the store.
    :returns: The stored configuration, or the report of the command with
        ``FAILURE`` if the value can't be decoded.
    """
    if value is None:
        return Ok(StoredConfiguration(document=None, version=version))
    result = decode_json(value, ConfigurationDocument)
    if result.is_error():
        return Error(
            Report(
                code=ExitCode.FAILURE,
                message="The configuration in the store can't be decoded: "
                f"{result.error.reason}",
            )
        )
    return Ok(StoredConfiguration(document=result.ok, version=version))


async def read_stored_configuration(
    store: OperatorStore,
) -> Result[StoredConfiguration, Report]:
    """Read the configuration from the store.

    :param store: The store's client.
    :returns: The stored configuration, or the report of the command:
        ``UNREACHABLE`` if the store can't be reached, ``FAILURE`` if its
        value can't be decoded.
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
    """Change the configuration and wait until it is in force everywhere.

    The new document is written to the store by compare-and-swap. If the
    response to the write is lost, the configuration is read back to find out
    whether the write took effect.

    :param settings: Settings with the addresses of the store and entry VMs.
    :param build_change: Returns the change to make, given the current
        document, or ``None`` if there is none yet.
    :param wait_s: Seconds to wait for every entry VM to confirm the change.
    :returns: The report: ``SUCCESS`` if in force on every entry VM,
        ``NOT_CONFIRMED`` if stored but not confirmed by all of them in time,
        ``CONFLICT`` if not stored, ``OUTCOME_UNKNOWN`` if that can't be
        determined, ``UNREACHABLE`` or ``FAILURE`` if nothing was changed.
    """
    store = OperatorStore(settings=settings.platform)
    stored = await read_stored_configuration(store)
    if stored.is_error():
        message = f"{stored.error.message} Nothing was changed."
        return dataclasses.replace(stored.error, message=message)
    highest_in_force = await fetch_highest_configuration(settings)
    base = build_base(stored.ok.document, highest_in_force)
    change = build_change(base)
    build_result = apply_change(
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
    if isinstance(event, StoreCallFailed) and not event.sent:
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
    outcome = determine_outcome(attempt.document, found.ok.document)
    if outcome in (ChangeOutcome.LATEST, ChangeOutcome.SUPERSEDED):
        return await _await_confirmation(attempt)
    if outcome is ChangeOutcome.UNKNOWN:
        return _report_unknown_outcome(attempt)
    return _report_conflict(attempt, found.ok.document)


def _report_unknown_outcome(attempt: _ChangeAttempt) -> Report:
    return Report(
        code=ExitCode.OUTCOME_UNKNOWN,
        message="It is unknown whether the change was made. Check with "
        "'profile list' or 'vm list' before you repeat it.",
        data=_build_change_report(attempt, "unknown", made=False),
    )


def _report_conflict(
    attempt: _ChangeAttempt, found: ConfigurationDocument | None
) -> Report:
    foreign_changes = (
        list_changes_since(attempt.expected, found) if found else ()
    )
    lines = [
        "Change not made: another change was stored first, or the write "
        "did not take effect.",
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
    """Report for each failure domain whether a revision is in force.

    :param entry_vms: The entry VMs with the status each returned.
    :param revision: The revision that must be in force, or a higher one.
    :returns: One report per failure domain, sorted by name.
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
        message=f"Stored as revision {revision}, {confirmation} in every "
        "failure domain.",
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
