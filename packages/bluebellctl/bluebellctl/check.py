"""The ``check`` command: validates a settings file."""

import pathlib

from bluebellbay.settings import load_settings
from bluebellctl.exit_code import ExitCode
from bluebellctl.report import Report


def check_file(path: pathlib.Path) -> Report:
    """Validate a settings file without starting anything.

    :param path: Path of the file.
    :returns: A report with exit code ``SUCCESS``, or ``USAGE_ERROR`` and one
        line for each error found.
    """
    result = load_settings(path)
    if result.is_error():
        settings_errors = [
            str(settings_error) for settings_error in result.error
        ]
        return Report(
            code=ExitCode.USAGE_ERROR,
            message="\n".join(settings_errors),
            data=settings_errors,
        )
    settings = result.ok
    services = sum(index.services for index in settings.indexes)
    replicas = sum(
        index.services * index.replicas for index in settings.indexes
    )
    return Report(
        code=ExitCode.SUCCESS,
        message=f"{path} is valid: {len(settings.indexes)} indexes, "
        f"{services} services, {replicas} replicas, "
        f"{len(settings.peers)} entry VMs.",
        data=[],
    )
