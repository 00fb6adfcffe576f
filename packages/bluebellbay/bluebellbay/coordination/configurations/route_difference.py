"""Tells how two route configurations differ, by meaning."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum
from typing import Generic
from typing import TypeVar

from bluebellbay.coordination.configurations.route_finding import Finding
from bluebellbay.coordination.configurations.route_finding import FindingKind
from bluebellbay.coordination.configurations.route_finding import NameWriter
from bluebellbay.coordination.configurations.route_place import Field
from bluebellbay.coordination.configurations.route_place import Part
from bluebellbay.coordination.configurations.route_place import Place
from bluebellbay.protocol.account import ClientAccount
from bluebellbay.protocol.route import CallerLimits
from bluebellbay.protocol.route import Route
from bluebellbay.protocol.route import RouteConfiguration
from bluebellbay.protocol.route import ServiceLimits

EntryT = TypeVar("EntryT")
MAX_LISTED_NAMES = 5


class DifferenceKind(enum.Enum):
    """How an entry differs from the configuration in force."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """One difference.

    :param kind: How the entry differs.
    :param place: Its place in the new configuration; without a number if it
        was removed.
    :param text: One sentence for a person; never holds an API key.
    """

    kind: DifferenceKind
    place: Place
    text: str


def list_differences(
    in_force: RouteConfiguration, new: RouteConfiguration
) -> tuple[Difference, ...]:
    """Compare two configurations.

    The order of routes and services, the scale of weights and the case of
    hosts have no meaning.

    :param in_force: The configuration in force.
    :param new: The one that would replace it.
    :returns: The differences, in the order of the new configuration.
    """
    names = NameWriter(in_force, new)
    differences = [
        *_compare_entries(
            in_force.routes, new.routes, _build_route_aspects(names), names
        ),
        *_compare_shards(in_force, new, names),
        *_compare_entries(
            tuple(in_force.services.values()),
            tuple(new.services.values()),
            _SERVICE_ASPECTS,
            names,
        ),
        *_compare_limits(in_force.limits, new.limits),
        *_compare_accounts(in_force, new, names),
    ]
    if new.version != in_force.version:
        version = Difference(
            kind=DifferenceKind.CHANGED,
            place=Place(part=Part.VERSION),
            text=f"version: {in_force.version}, new {new.version}",
        )
        differences.insert(0, version)
    return tuple(differences)


def find_stale_version(
    in_force: RouteConfiguration, new: RouteConfiguration
) -> Finding | None:
    """Check that nodes take a configuration in place of the one in force.

    :param in_force: The configuration in force.
    :param new: The one that would replace it.
    :returns: The finding; ``None`` if its version is higher, or if the two
        don't differ.
    """
    if new.version > in_force.version or not list_differences(in_force, new):
        return None
    return Finding(
        kind=FindingKind.VERSION_TOO_LOW,
        place=Place(part=Part.VERSION),
        text=f"nodes ignore version {new.version}: it isn't above "
        f"{in_force.version}, which is in force",
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Aspect(Generic[EntryT]):
    """One meaning of an entry; ``describe`` writes it, if it is not a key."""

    field: Field
    read: Callable[[EntryT], object]
    describe: Callable[[EntryT], str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Aspects(Generic[EntryT]):
    part: Part
    get_name: Callable[[EntryT], str]
    aspects: tuple[_Aspect[EntryT], ...]


def _plain(
    field: Field, read: Callable[[EntryT], object], unit: str = ""
) -> _Aspect[EntryT]:
    def describe(entry: EntryT) -> str:
        value = read(entry)
        if isinstance(value, bool):
            return "yes" if value else "no"
        if isinstance(value, float):
            return f"{value:g}{unit}"
        return "none" if value is None else f"{value}{unit}"

    return _Aspect(field=field, read=read, describe=describe)


def _build_route_aspects(names: NameWriter) -> _Aspects[Route]:
    def describe_shares(route: Route) -> str:
        shares = _compute_shares(route)
        return (
            ", ".join(
                f"{names.write(name)} {100 * share:g}%"
                for name, share in shares.items()
            )
            or "none"
        )

    return _Aspects(
        part=Part.ROUTE,
        get_name=lambda route: route.name,
        aspects=(
            _Aspect(
                field=Field.HOST,
                read=lambda route: route.host,
                describe=lambda route: names.write(route.host),
            ),
            _Aspect(
                field=Field.PREFIX,
                read=lambda route: route.prefix,
                describe=lambda route: names.write(route.prefix),
            ),
            _plain(Field.IDEMPOTENCY, lambda route: route.idempotent),
            _plain(Field.TIMEOUT, lambda route: route.timeout_s, " s"),
            _plain(Field.OBJECTIVE, lambda route: route.objective_s, " s"),
            _plain(Field.ATTEMPTS, lambda route: route.most_attempts),
            _plain(Field.RANK, lambda route: route.rank),
            _Aspect(
                field=Field.SERVICES,
                read=_compute_shares,
                describe=describe_shares,
            ),
            _plain(
                Field.MOST_RECORDS,
                lambda route: route.scatter and route.scatter.most_records,
            ),
            _plain(
                Field.COVERAGE,
                lambda route: route.scatter and route.scatter.min_coverage,
            ),
            _plain(Field.PUBLIC, lambda route: route.public),
        ),
    )


def _compute_shares(route: Route) -> dict[str, float]:
    if route.scatter is not None:
        return {}
    total = sum(share.weight for share in route.services)
    shares: dict[str, float] = {}
    for share in route.services:
        # Rounded, as weights of another scale give shares that differ by the
        # rounding of the division.
        share_of_total = round(share.weight / total, 9)
        shares[share.service] = shares.get(share.service, 0) + share_of_total
    return shares


def _list_shards(route: Route) -> tuple[str, ...]:
    return route.scatter.shards if route.scatter is not None else ()


_SERVICE_ASPECTS: _Aspects[ServiceLimits] = _Aspects(
    part=Part.SERVICE,
    get_name=lambda service: service.name,
    aspects=(
        _plain(Field.CONNECTIONS, lambda service: service.connections),
        _plain(Field.WARMUP_TIME, lambda service: service.warmup_s, " s"),
        _plain(Field.WARMUP_RATE, lambda service: service.warmup_per_s),
    ),
)
_ACCOUNT_ASPECTS: _Aspects[ClientAccount] = _Aspects(
    part=Part.ACCOUNT,
    get_name=lambda account: account.name,
    aspects=(
        _plain(Field.RANK, lambda account: account.rank),
        _plain(Field.RATE, lambda account: account.rate_per_s, " per s"),
        _plain(Field.BURST, lambda account: account.burst),
    ),
)
_LIMIT_ASPECTS: tuple[_Aspect[CallerLimits], ...] = (
    _plain(Field.HEADER_BYTES, lambda limits: limits.header_bytes),
    _plain(Field.BODY_BYTES, lambda limits: limits.body_bytes),
    _plain(Field.HEADER_TIMEOUT, lambda limits: limits.header_timeout_s, " s"),
    _plain(Field.IDLE_TIMEOUT, lambda limits: limits.idle_timeout_s, " s"),
)


def _compare_entries(
    in_force: Iterable[EntryT],
    new: Iterable[EntryT],
    aspects: _Aspects[EntryT],
    names: NameWriter,
) -> Iterator[Difference]:
    old_entries: dict[str, EntryT] = {}
    for entry in in_force:
        old_entries.setdefault(aspects.get_name(entry), entry)
    seen: set[str] = set()
    for index, entry in enumerate(new):
        name = aspects.get_name(entry)
        title = f"{aspects.part.value} {names.write(name)}"
        place = Place(part=aspects.part, index=index)
        if name in seen:
            continue
        seen.add(name)
        if name not in old_entries:
            yield Difference(
                kind=DifferenceKind.ADDED, place=place, text=f"{title}: added"
            )
            continue
        for aspect in aspects.aspects:
            yield from _compare_aspect(
                aspect, old_entries[name], entry, place, f"{title}, "
            )
    for name in old_entries:
        if name not in seen:
            yield Difference(
                kind=DifferenceKind.REMOVED,
                place=Place(part=aspects.part),
                text=f"{aspects.part.value} {names.write(name)}: removed",
            )


def _compare_aspect(
    aspect: _Aspect[EntryT],
    old: EntryT,
    new: EntryT,
    place: Place,
    title: str,
) -> Iterator[Difference]:
    if aspect.read(old) == aspect.read(new):
        return
    yield Difference(
        kind=DifferenceKind.CHANGED,
        place=dataclasses.replace(place, field=aspect.field),
        text=f"{title}{aspect.field.value}: {aspect.describe(old)}, "
        f"new {aspect.describe(new)}",
    )


def _compare_limits(
    in_force: CallerLimits, new: CallerLimits
) -> Iterator[Difference]:
    for aspect in _LIMIT_ASPECTS:
        yield from _compare_aspect(
            aspect,
            in_force,
            new,
            Place(part=Part.LIMITS),
            f"{Part.LIMITS.value}, ",
        )


def _compare_shards(
    in_force: RouteConfiguration, new: RouteConfiguration, names: NameWriter
) -> Iterator[Difference]:
    old_routes = {route.name: route for route in in_force.routes[::-1]}
    for index, route in enumerate(new.routes):
        old = old_routes.pop(route.name, None)
        if old is None:
            continue
        before, after = set(_list_shards(old)), set(_list_shards(route))
        if before != after:
            yield Difference(
                kind=DifferenceKind.CHANGED,
                place=Place(part=Part.ROUTE, index=index, field=Field.SHARDS),
                text=f"{Part.ROUTE.value} {names.write(route.name)}, "
                f"{Field.SHARDS.value}: {len(before)}, new {len(after)}; "
                f"added {_list_names(after - before, names)}; "
                f"removed {_list_names(before - after, names)}",
            )


def _list_names(found: set[str], names: NameWriter) -> str:
    listed = [names.write(name) for name in sorted(found)[:MAX_LISTED_NAMES]]
    if len(found) > len(listed):
        listed.append(f"{len(found) - len(listed)} more")
    return ", ".join(listed) or "none"


def _compare_accounts(
    in_force: RouteConfiguration, new: RouteConfiguration, names: NameWriter
) -> Iterator[Difference]:
    if (in_force.accounts is None) != (new.accounts is None):
        yield Difference(
            kind=DifferenceKind.CHANGED,
            place=Place(part=Part.ACCOUNT),
            text="callers of routes that aren't public "
            + ("need a key" if in_force.accounts is None else "need no key")
            + " from now on",
        )
    old_accounts = in_force.accounts or ()
    new_accounts = new.accounts or ()
    yield from _compare_entries(
        old_accounts, new_accounts, _ACCOUNT_ASPECTS, names
    )
    old_keys = {account.name: account.keys for account in old_accounts[::-1]}
    seen: set[str] = set()
    for index, account in enumerate(new_accounts):
        if account.name in seen:
            continue
        seen.add(account.name)
        before = set(old_keys.get(account.name, account.keys))
        added = len(set(account.keys) - before)
        withdrawn = len(before - set(account.keys))
        if added or withdrawn:
            yield Difference(
                kind=DifferenceKind.CHANGED,
                place=Place(part=Part.ACCOUNT, index=index, field=Field.KEYS),
                text=f"{Part.ACCOUNT.value} {names.write(account.name)}, "
                f"keys: {added} added, {withdrawn} withdrawn, "
                f"{len(set(account.keys))} in all",
            )
