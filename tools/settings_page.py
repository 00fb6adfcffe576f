"""Prints docs/SETTINGS.md from the settings classes."""

import dataclasses
import sys
from typing import Annotated
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints

from bluebellbay.protocol.profile import Profile
from bluebellbay.settings import IndexSettings
from bluebellbay.settings import PeerSettings
from bluebellbay.settings import Settings

HEADER = """# Settings

A node reads one YAML file. `bluebellbayd --check-settings --settings FILE`
and `bluebellctl check FILE` name every fault with its key and exit with 2.
A share or quantile is a fraction. This page is printed from the code by
`tools/settings_page.py`, and a test compares the two.
"""

PROFILE_HEADER = """
## Profiles

Profiles are not settings: operators keep them in the platform's store with
`bluebellctl profile set`, and they are in force on every entry VM.
"""

UNIT_BY_SUFFIX = {"_s": "s", "_ms": "ms", "_bytes": "bytes"}
LIST_ITEM_CLASSES = {"indexes": IndexSettings, "peers": PeerSettings}


def list_metadata(hint: Any) -> list[Any]:
    """List what is annotated on a type, innermost first.

    :param hint: A type hint.
    :returns: The annotations, flattened.
    """
    if get_origin(hint) is not Annotated:
        return []
    base, *extra = get_args(hint)
    annotations = list_metadata(base)
    for item in extra:
        annotations.extend([item, *getattr(item, "metadata", ())])
    return annotations


def describe_range(metadata: list[Any]) -> str:
    """Say which values are allowed.

    :param metadata: Annotations of a key.
    :returns: A phrase, empty if any value of the type is.
    """
    low = high = None
    for item in metadata:
        low = getattr(item, "ge", None) if low is None else low
        high = getattr(item, "le", None) if high is None else high
    if low is None or high is None:
        return ""
    return f"{low:,} to {high:,}"


def describe_unit(name: str) -> str:
    """Name the unit of a key after its ending.

    :param name: Name of the key.
    :returns: The unit, empty for a plain number or a text.
    """
    for name_suffix, unit in UNIT_BY_SUFFIX.items():
        if name.endswith(name_suffix):
            return unit
    return ""


def describe_default(field: Any, instance: Any) -> str:
    """Say what holds if a key is left out.

    :param field: The data class field.
    :param instance: An instance made of defaults, if there is one.
    :returns: A phrase.
    """
    if instance is None and field.default is dataclasses.MISSING:
        return "required"
    value = getattr(instance, field.name, field.default)
    if type(value).__name__ == "FieldInfo":
        value = value.default
    return str(value).lower() if isinstance(value, bool) else str(value)


def build_section_rows(cls: Any, prefix: str) -> list[str]:
    """List a table row for each key of a section.

    :param cls: The section's class.
    :param prefix: The section's key.
    :returns: Lines of Markdown.
    """
    hints = get_type_hints(cls, include_extras=True)
    try:
        instance = cls()
    except Exception:
        instance = None
    rows = []
    for field in dataclasses.fields(cls):
        metadata = list_metadata(hints[field.name])
        meaning = next(
            (
                item.description
                for item in metadata
                if getattr(item, "description", None)
            ),
            "",
        )
        value_range = describe_range(metadata)
        default = describe_default(field, instance)
        rows.append(
            f"| `{prefix}.{field.name}` | {meaning} | "
            f"{describe_unit(field.name)} | {value_range} | {default} |"
        )
    return rows


def build_profile_rows() -> list[str]:
    """List a table row for each field of a profile.

    :returns: Lines of Markdown.
    """
    meanings = dict(
        line.strip().removeprefix(":param ").split(":", 1)
        for line in join_wrapped_fields(Profile.__doc__ or "")
    )
    hints = get_type_hints(Profile, include_extras=True)
    rows = []
    for field in dataclasses.fields(Profile):
        value_range = describe_range(list_metadata(hints[field.name]))
        missing = field.default is dataclasses.MISSING
        default = "required" if missing else str(field.default)
        meaning = meanings[field.name].strip()
        rows.append(
            f"| `{field.name}` | {meaning} | {describe_unit(field.name)} "
            f"| {value_range} | {default} |"
        )
    return rows


def join_wrapped_fields(doc: str) -> list[str]:
    """Join the wrapped reST fields of a docstring to a line each.

    :param doc: The docstring.
    :returns: The fields.
    """
    lines: list[str] = []
    for line in doc.splitlines():
        if line.strip().startswith(":param "):
            lines.append(line.strip())
        elif lines and line.strip():
            lines[-1] += " " + line.strip()
    return lines


def build_page() -> str:
    """Make the page.

    :returns: Markdown.
    """
    parts = [HEADER]
    table_header = (
        "| key | meaning | unit | range | default |\n"
        "| --- | --- | --- | --- | --- |"
    )
    hints = get_type_hints(Settings)
    for field in dataclasses.fields(Settings):
        cls = LIST_ITEM_CLASSES.get(field.name, hints[field.name])
        suffix = "[]" if field.name in LIST_ITEM_CLASSES else ""
        doc = (cls.__doc__ or "").splitlines()[0]
        rows = "\n".join(build_section_rows(cls, f"{field.name}{suffix}"))
        parts.append(f"\n## {field.name}\n\n{doc}\n\n{table_header}\n{rows}\n")
    rows = "\n".join(build_profile_rows())
    parts.append(f"{PROFILE_HEADER}\n{table_header}\n{rows}\n")
    return "".join(parts)


if __name__ == "__main__":
    sys.stdout.write(build_page())
