"""Authentication of callers."""

from returns import result

from cactusloft_model import errors
from cactusloftd import _calls

_E = errors.ErrorKind


def find_account_name(config, route, key):
    """Return the name of the account that may use a route with a key.

    :param config: :class:`_config.Config`.
    :param route: :class:`document.Route`.
    :param key: caller key, or empty.
    :returns: ``Success(name)``, empty for open routes, or
        ``Failure(CallError)``.
    """
    if route.is_open:
        return result.Success('')
    if not config.is_fresh():
        return _calls.fail(_E.CONFIG_STALE)
    account = config.current.find_account(key) if key else None
    if account is None:
        return _calls.fail(_E.UNAUTHENTICATED)
    return result.Success(account.name)
