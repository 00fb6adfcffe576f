"""Decides which client account a request belongs to."""

import dataclasses

from bluebellbay.protocol.account import ClientAccount
from bluebellbay.protocol.exchange import RoutedRequest
from bluebellbay.protocol.route import Route
from bluebellbay.state.accounts import AccountTable

SCHEME = b"bearer"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Authentication:
    """Result of the authentication of a request.

    :param accepted: Whether the request may run.
    :param request: The request, without credentials if accounts are
        configured, and with the name of its account.
    :param account: The account; ``None`` if the request has none.
    """

    accepted: bool
    request: RoutedRequest
    account: ClientAccount | None = None


def authenticate(
    request: RoutedRequest, route: Route, accounts: AccountTable | None
) -> Authentication:
    """Authenticate a request by its API key.

    :param request: The request as it was received.
    :param route: Its route; a public one needs no key.
    :param accounts: The accounts in force; ``None`` if none are configured,
        so that credentials are the business of the replicas.
    """
    if request.delegation is not None:
        return _accept_delegated(request, accounts)
    if accounts is None:
        return Authentication(accepted=True, request=request)
    key = read_key(request.credentials)
    account = accounts.find_by_key(key) if key else None
    return Authentication(
        accepted=route.public or account is not None,
        request=dataclasses.replace(
            request,
            credentials=(),
            account=account.name if account is not None else "",
        ),
        account=account,
    )


def _accept_delegated(
    request: RoutedRequest, accounts: AccountTable | None
) -> Authentication:
    """Accept a request that the delegating peer has authenticated."""
    account = accounts.find_by_name(request.account) if accounts else None
    return Authentication(accepted=True, request=request, account=account)


def read_key(credentials: tuple[bytes, ...]) -> str:
    """Read the API key of a request.

    :param credentials: Values of its authorization headers.
    :returns: The key of the only bearer credential; empty if there is none.
    """
    if len(credentials) != 1:
        return ""
    scheme, _, key = credentials[0].strip(b" \t").partition(b" ")
    if scheme.lower() != SCHEME:
        return ""
    return key.strip(b" \t").decode("latin-1")
