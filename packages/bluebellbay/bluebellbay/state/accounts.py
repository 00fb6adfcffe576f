"""Client accounts of the configuration in force, by key and by name."""

from collections.abc import Iterable

from bluebellbay.protocol.account import ClientAccount


class AccountTable:
    """Looks up client accounts.

    :param accounts: The accounts. A key that several of them list belongs to
        the first.
    """

    def __init__(self, accounts: Iterable[ClientAccount] = ()) -> None:
        # The first account that lists a key is entered last.
        entered = tuple(accounts)[::-1]
        self._by_key = {
            key: account for account in entered for key in account.keys
        }
        self._by_name = {account.name: account for account in entered}

    def find_by_key(self, key: str) -> ClientAccount | None:
        """Look up the account that holds a key.

        :param key: The API key.
        :returns: The account; ``None`` if no account holds the key.
        """
        return self._by_key.get(key)

    def find_by_name(self, name: str) -> ClientAccount | None:
        """Look up an account.

        :param name: Its name.
        :returns: The account; ``None`` if there is none of this name.
        """
        return self._by_name.get(name)
