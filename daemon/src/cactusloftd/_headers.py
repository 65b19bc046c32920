"""Names of HTTP headers, and which of them travel end to end."""

CALL_TOKEN = 'Cactusloft-Call-Token'
DEADLINE_MS = 'Cactusloft-Deadline-Ms'
CLIENT_ACCOUNT = 'Cactusloft-Client-Account'
CALL_ID = 'Cactusloft-Call-Id'
NOT_RUN = 'Cactusloft-Not-Run'
REPLAYED = 'Cactusloft-Replayed'
AUTHORIZATION = 'Authorization'
IDEMPOTENCY_KEY = 'Idempotency-Key'
OWN_PREFIX = 'cactusloft-'

_HOP_BY_HOP = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


def select_end_to_end_headers(headers, dropped=frozenset()):
    """Return the end-to-end headers of a message as pairs.

    :param headers: multidict of the message.
    :param dropped: names in lower case to leave out as well.
    """
    fields = [(name.lower(), name, value) for name, value in headers.items()]
    # Headers that the connection header names are hop-by-hop as well.
    named = {
        token.strip().lower()
        for lower, _, value in fields
        if lower == 'connection'
        for token in value.split(',')
    }
    # The codec takes plain strings, not the HTTP library's subclass of them.
    return tuple(
        (str(name), value)
        for lower, name, value in fields
        if lower not in _HOP_BY_HOP
        and lower not in dropped
        and lower not in named
    )


def select_for_service(headers):
    """Return the headers of a request that a backend server may see."""
    return tuple(
        (name, value)
        for name, value in select_end_to_end_headers(headers)
        if name.lower() != AUTHORIZATION.lower()
        and not name.lower().startswith(OWN_PREFIX)
    )


def select_for_caller(headers):
    """Return the headers of a response that a caller may see.

    :param headers: pairs.
    """
    return tuple(
        (name, value)
        for name, value in headers
        if not name.lower().startswith(OWN_PREFIX)
    )
