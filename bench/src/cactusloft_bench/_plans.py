"""Request plans for stub servers, and integrity checks of their responses.

A request body is a JSON plan: the work to do and the nested calls to make. A
response body starts with one line of JSON that holds the digest of the
request. Filler content derived from this digest follows, so that a response
that is truncated, interleaved with another one or sent to the wrong request
is detected.
"""

import hashlib

import attrs
import msgspec

FILLER_BLOCK_BYTES = 32
STREAM_CHUNK_BYTES = 16 * 1024


@attrs.frozen
class Plan:
    """Work that a stub server performs for one request.

    :ivar nonce: makes the request and hence its digest unique.
    :ivar work_ms: service time, or None for the configured one.
    :ivar crash: whether the process exits immediately without a response.
    :ivar answer_bytes: length of the filler content.
    :ivar pause_ms: delay between two chunks of the filler content.
    :ivar calls: nested calls, made sequentially.
    """

    nonce: str = ''
    work_ms: float | None = None
    crash: bool = False
    answer_bytes: int = 0
    pause_ms: float = 0.0
    calls: tuple['NestedCall', ...] = ()


@attrs.frozen
class NestedCall:
    """A call that the stub server makes while it handles a request.

    :ivar service: name of the service to call.
    :ivar path: path with a leading slash.
    :ivar plan: plan that the called server executes.
    :ivar method: HTTP method.
    """

    service: str
    path: str
    plan: Plan
    method: str = 'POST'


@attrs.frozen
class NestedResult:
    """Result of a nested call.

    :ivar status: HTTP status, or 0 when the connection failed.
    :ivar kind: error kind of a refusal, empty for a response of a backend
        server.
    :ivar is_whole: whether the response matches the call and is complete.
    :ivar instance: instance that responded.
    """

    service: str
    status: int
    kind: str = ''
    is_whole: bool = False
    instance: str = ''


@attrs.frozen
class AnswerHead:
    """First line of a response body.

    :ivar digest: digest of the request as the server received it.
    :ivar nested: results of the nested calls, depth first.
    """

    digest: str
    service: str
    instance: str
    filler_bytes: int = 0
    nested: tuple[NestedResult, ...] = ()


@attrs.frozen
class CheckedAnswer:
    """Result of checking a response body.

    :ivar head: first line, or None if it cannot be decoded.
    :ivar is_whole: whether the body is the complete response to the request.
    """

    head: AnswerHead | None
    is_whole: bool


def encode_plan(plan):
    """Return the request body for ``plan``."""
    return msgspec.json.encode(plan)


def decode_plan(body):
    """Return the plan in a request body; an empty body is an empty plan.

    :raises msgspec.ValidationError: when the body is not a valid plan.
    """
    return msgspec.json.decode(body, type=Plan) if body else Plan()


def compute_digest(method, path, body):
    """Return the digest of a request.

    :param path: path including the query string.

    >>> compute_digest('GET', '/a', b'') == compute_digest('GET', '/b', b'')
    False
    """
    digest = hashlib.sha256(f'{method} {path}\n'.encode())
    digest.update(body)
    return digest.hexdigest()


def generate_filler(digest, length):
    """Yield the filler content for a request, in chunks.

    Every block is different, so that a lost or repeated chunk is detected.

    :param digest: digest of the request.
    :param length: length in bytes.

    >>> len(b''.join(generate_filler('d', 40_000)))
    40000
    """
    seed = digest.encode()
    blocks_per_chunk = STREAM_CHUNK_BYTES // FILLER_BLOCK_BYTES
    for start in range(0, length, STREAM_CHUNK_BYTES):
        first_block = start // FILLER_BLOCK_BYTES
        chunk = b''.join(
            hashlib.blake2b(
                seed + block_index.to_bytes(8, 'big'), digest_size=32
            ).digest()
            for block_index in range(
                first_block, first_block + blocks_per_chunk
            )
        )
        yield chunk[: length - start]


def encode_head(head):
    """Return the first line of a response body."""
    return msgspec.json.encode(head) + b'\n'


def check_answer(digest, body):
    """Check whether ``body`` is the complete response to a request.

    :param digest: digest of the request that was sent.
    :returns: :class:`CheckedAnswer`.

    >>> head = AnswerHead('d', 'maps', 'm1', 3)
    >>> body = encode_head(head) + b''.join(generate_filler('d', 3))
    >>> check_answer('d', body).is_whole
    True
    >>> check_answer('d', body[:-1]).is_whole
    False
    >>> check_answer('e', body).is_whole
    False
    """
    line, _, filler = body.partition(b'\n')
    try:
        head = msgspec.json.decode(line, type=AnswerHead)
    except msgspec.DecodeError:
        return CheckedAnswer(None, False)
    expected = b''.join(generate_filler(digest, head.filler_bytes))
    return CheckedAnswer(head, head.digest == digest and filler == expected)
