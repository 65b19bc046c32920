"""Names of HTTP headers, and selection of the headers to forward."""

CALL_TOKEN = 'Cactusloft-Call-Token'
DEADLINE_MS = 'Cactusloft-Deadline-Ms'
CLIENT_ACCOUNT = 'Cactusloft-Client-Account'
CALL_ID = 'Cactusloft-Call-Id'
NOT_RUN = 'Cactusloft-Not-Run'
REPLAYED = 'Cactusloft-Replayed'
AUTHORIZATION = 'Authorization'
IDEMPOTENCY_KEY = 'Idempotency-Key'
INTERNAL_PREFIX = 'cactusloft-'

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
    """Return the end-to-end headers of a message as pairs of name and value.

    :param headers: multidict of the message.
    :param dropped: lower-case names of further headers to omit.
    """
    # Headers that the Connection header lists are hop-by-hop as well.
    connection_options = set()
    selected = []
    for name, value in headers.items():
        lower = name.lower()
        if lower == 'connection':
            tokens = value.split(',')
            connection_options.update(t.strip().lower() for t in tokens)
        elif lower not in _HOP_BY_HOP and lower not in dropped:
            # The codec accepts only plain strings, not the subclass of
            # multidict.
            selected.append((str(name), value))
    if connection_options:
        selected = [
            (name, value)
            for name, value in selected
            if name.lower() not in connection_options
        ]
    return tuple(selected)


def select_for_service(headers):
    """Return the request headers to forward to a backend server."""
    return tuple(
        (name, value)
        for name, value in select_end_to_end_headers(headers)
        if name.lower() != AUTHORIZATION.lower()
        and not name.lower().startswith(INTERNAL_PREFIX)
    )


def select_for_caller(headers):
    """Return the response headers to forward to a caller.

    :param headers: pairs of name and value.
    """
    return tuple(
        (name, value)
        for name, value in headers
        if not name.lower().startswith(INTERNAL_PREFIX)
    )
