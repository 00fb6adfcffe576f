"""The ``profile`` commands: list, show, set and delete profiles."""

import argparse
import dataclasses

from bluebellbay.coordination.configurations.change import DeleteProfile
from bluebellbay.coordination.configurations.change import SetProfile
from bluebellbay.protocol.configuration import ConfigurationDocument
from bluebellbay.protocol.configuration import ProfileRecord
from bluebellbay.protocol.profile import Profile
from bluebellbay.settings import Settings
from bluebellctl.change import make_change
from bluebellctl.change import read_stored_configuration
from bluebellctl.exit_code import ExitCode
from bluebellctl.report import Report
from bluebellctl.report import Table
from bluebellctl.store import OperatorStore

HEADINGS = (
    "profile",
    "coverage floor",
    "delay ms",
    "extra load",
    "rank",
    "revision",
)


def _format_row(record: ProfileRecord) -> tuple[object, ...]:
    profile = record.profile
    if profile is None:
        return ()
    return (
        profile.name,
        profile.coverage_floor,
        profile.delay_ms,
        profile.extra_load,
        profile.rank,
        record.revision,
    )


async def list_profiles(
    settings: Settings, arguments: argparse.Namespace
) -> Report:
    """List the profiles in the store.

    :param settings: Settings with the address of the store.
    :param arguments: The parsed command line; not used.
    :returns: The report; ``UNREACHABLE`` if the store can't be reached,
        ``FAILURE`` if its configuration can't be decoded.
    """
    del arguments
    stored = await read_stored_configuration(
        OperatorStore(settings=settings.platform)
    )
    if stored.is_error():
        return stored.error
    document = stored.ok.document
    records = [
        record
        for record in (document.profiles if document else ())
        if record.profile is not None
    ]
    return Report(
        code=ExitCode.SUCCESS,
        message="" if records else "The store holds no profiles.",
        table=Table(
            headings=HEADINGS,
            rows=tuple(_format_row(record) for record in records),
        ),
        data=records,
    )


async def show_profile(
    settings: Settings, arguments: argparse.Namespace
) -> Report:
    """Show one profile.

    :param settings: Settings with the address of the store.
    :param arguments: The parsed command line, with ``name``.
    :returns: The report; ``FAILURE`` if there is no such profile, otherwise
        as ``list_profiles``.
    """
    report = await list_profiles(settings, arguments)
    if report.code is not ExitCode.SUCCESS:
        return report
    records = [item for item in report.data if item.name == arguments.name]
    if not records:
        return Report(
            code=ExitCode.FAILURE,
            message=f"There is no profile {arguments.name}.",
        )
    row = _format_row(records[0])
    return Report(
        code=ExitCode.SUCCESS,
        table=Table(
            headings=("field", "value"),
            rows=tuple(zip(HEADINGS, row, strict=True)),
        ),
        data=records[0],
    )


async def set_profile(
    settings: Settings, arguments: argparse.Namespace
) -> Report:
    """Create a profile or change its fields.

    Fields that are not given keep their value, or take the default in a new
    profile.

    :param settings: Settings with the addresses of the store and entry VMs.
    :param arguments: The parsed command line, with ``name``, ``wait`` and
        the fields, ``None`` where not given.
    :returns: The report of the change, see ``make_change``.
    """

    def build_change(base: ConfigurationDocument | None) -> SetProfile:
        existing = find_profile(base, arguments.name)
        return SetProfile(
            profile=_apply_arguments(
                existing or Profile(name=arguments.name), arguments
            )
        )

    return await make_change(settings, build_change, wait_s=arguments.wait)


def find_profile(
    document: ConfigurationDocument | None, name: str
) -> Profile | None:
    """Find a profile in a configuration document.

    :param document: The document, or ``None`` if none is stored yet.
    :param name: Name of the profile.
    :returns: The profile, or ``None`` if it does not exist or was deleted.
    """
    for record in document.profiles if document else ():
        if record.name == name:
            return record.profile
    return None


def _apply_arguments(base: Profile, arguments: argparse.Namespace) -> Profile:
    changed_fields = {
        name: getattr(arguments, name)
        for name in ("coverage_floor", "delay_ms", "extra_load", "rank")
        if getattr(arguments, name) is not None
    }
    return dataclasses.replace(base, **changed_fields)


async def delete_profile(
    settings: Settings, arguments: argparse.Namespace
) -> Report:
    """Delete a profile.

    :param settings: Settings with the addresses of the store and entry VMs.
    :param arguments: The parsed command line, with ``name`` and ``wait``.
    :returns: The report of the change, see ``make_change``; ``FAILURE`` if
        there is no such profile.
    """
    change = DeleteProfile(name=arguments.name)
    return await make_change(
        settings, lambda base: change, wait_s=arguments.wait
    )
