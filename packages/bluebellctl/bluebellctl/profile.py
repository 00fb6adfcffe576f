"""The profile commands."""

import argparse
import dataclasses

from bluebellbay.coordination.configurations.change import ProfileDelete
from bluebellbay.coordination.configurations.change import ProfileSet
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
    """List the profiles that the store holds.

    :param settings: Where the store is.
    :param arguments: The parsed command line.
    :returns: The report.
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
        message="" if records else "There is no profile yet.",
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

    :param settings: Where the store is.
    :param arguments: The parsed command line, with ``name``.
    :returns: The report.
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
    """Create a profile or replace it; fields left out keep their value.

    :param settings: Where the store and the entry VMs are.
    :param arguments: The parsed command line.
    :returns: The report.
    """

    def build_change(base: ConfigurationDocument | None) -> ProfileSet:
        existing = find_profile(base, arguments.name)
        return ProfileSet(
            profile=_apply_arguments(
                existing or Profile(name=arguments.name), arguments
            )
        )

    return await make_change(settings, build_change, wait_s=arguments.wait)


def find_profile(
    document: ConfigurationDocument | None, name: str
) -> Profile | None:
    """Look a profile up in a document.

    :param document: The document; none if there is none yet.
    :param name: Name of the profile.
    :returns: The profile; none if there is none of this name.
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

    :param settings: Where the store and the entry VMs are.
    :param arguments: The parsed command line, with ``name``.
    :returns: The report.
    """
    change = ProfileDelete(name=arguments.name)
    return await make_change(
        settings, lambda base: change, wait_s=arguments.wait
    )
