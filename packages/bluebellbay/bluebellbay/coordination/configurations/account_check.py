"""Finds client accounts whose keys or limits have no effect."""

from collections.abc import Iterator

from bluebellbay.coordination.configurations.route_finding import Finding
from bluebellbay.coordination.configurations.route_finding import FindingKind
from bluebellbay.coordination.configurations.route_finding import NameWriter
from bluebellbay.coordination.configurations.route_place import Field
from bluebellbay.coordination.configurations.route_place import Part
from bluebellbay.coordination.configurations.route_place import Place
from bluebellbay.coordination.routing.authentication import read_key
from bluebellbay.coordination.routing.authentication import SCHEME
from bluebellbay.protocol.account import ClientAccount
from bluebellbay.state.accounts import AccountTable


class AccountCheck:
    """Checks the client accounts of a configuration.

    :param accounts: The accounts.
    :param names: Writes names into the findings.
    """

    def __init__(
        self, *, accounts: tuple[ClientAccount, ...], names: NameWriter
    ) -> None:
        self._accounts = accounts
        self._table = AccountTable(accounts)
        self._name = names.write

    def find_all(self) -> Iterator[Finding]:
        """Yield the findings, in the order of the accounts."""
        for index, account in enumerate(self._accounts):
            if self._table.find_by_name(account.name) is not account:
                yield _find_in_account(
                    FindingKind.NAME_REPEATED,
                    index,
                    Field.NAME,
                    "another client account is named "
                    f"{self._name(account.name)}",
                )
            yield from self._check_keys(index, account)
            yield from self._check_quota(index, account)

    def _check_keys(
        self, index: int, account: ClientAccount
    ) -> Iterator[Finding]:
        name = self._name(account.name)
        usable = [key for key in account.keys if _can_be_sent(key)]
        if not usable:
            yield _find_in_account(
                FindingKind.ACCOUNT_WITHOUT_KEY,
                index,
                Field.KEYS,
                f"no request belongs to client account {name}: none of its "
                f"{len(account.keys)} keys can be used",
            )
        elif len(usable) < len(account.keys):
            yield _find_in_account(
                FindingKind.KEY_UNUSABLE,
                index,
                Field.KEYS,
                f"{len(account.keys) - len(usable)} of {len(account.keys)} "
                f"keys of client account {name} can't be sent in a header",
            )
        seen: set[str] = set()
        for item, key in enumerate(account.keys):
            owner = self._table.find_by_key(key)
            if owner is account and key not in seen:
                seen.add(key)
                continue
            other = (
                "is listed before"
                if owner is None or owner is account
                else f"belongs to client account {self._name(owner.name)}"
            )
            yield Finding(
                kind=FindingKind.KEY_REPEATED,
                place=Place(
                    part=Part.ACCOUNT,
                    index=index,
                    field=Field.KEYS,
                    item=item,
                ),
                text=f"key {item + 1} of client account {name} {other}",
            )

    def _check_quota(
        self, index: int, account: ClientAccount
    ) -> Iterator[Finding]:
        name = self._name(account.name)
        if 0 < account.rate_per_s < 1 and account.burst == 0:
            yield _find_in_account(
                FindingKind.QUOTA_WITHOUT_ROOM,
                index,
                Field.RATE,
                f"client account {name} may send {account.rate_per_s:g} "
                "requests per second with a burst of 0: no second has room "
                "for a whole request",
            )
        if account.rate_per_s == 0 and account.burst > 0:
            yield _find_in_account(
                FindingKind.BURST_WITHOUT_RATE,
                index,
                Field.BURST,
                f"the burst of client account {name} has no effect: its rate "
                "has no limit",
            )


def _can_be_sent(key: str) -> bool:
    """Tell whether a node reads the same key from a header."""
    if any(
        ord(character) < ord(" ") or ord(character) == 0x7F
        for character in key
    ):
        return False
    try:
        value = SCHEME + b" " + key.encode("latin-1")
    except UnicodeEncodeError:
        return False
    return bool(key) and read_key((value,)) == key


def _find_in_account(
    kind: FindingKind, index: int, field: Field, text: str
) -> Finding:
    place = Place(part=Part.ACCOUNT, index=index, field=field)
    return Finding(kind=kind, place=place, text=text)
