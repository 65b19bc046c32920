"""What a request asks of stand-in servers, and the proof of its answer.

A request body is a JSON plan: the work to do and the nested calls to make. An
answer starts with one line of JSON that carries the digest of the request.
Filler content derived from this digest follows, so that an answer that is
truncated, mixed with another one or bound to another request is detected.
"""

import hashlib

import attrs
import msgspec

FILLER_BLOCK_BYTES = 32
STREAM_CHUNK_BYTES = 16 * 1024


@attrs.frozen
class Plan:
    """Work that one request asks of a stand-in server.

    :ivar nonce: makes the request and hence its digest unique.
    :ivar work_ms: service time, or None for the configured one.
    :ivar crash: whether the process shall end at once, without an answer.
    :ivar answer_bytes: length of the filler content.
    :ivar pause_ms: pause between two chunks of the filler content.
    :ivar calls: nested calls, made one after another.
    """

    nonce: str = ''
    work_ms: float | None = None
    crash: bool = False
    answer_bytes: int = 0
    pause_ms: float = 0.0
    calls: tuple['NestedCall', ...] = ()


@attrs.frozen
class NestedCall:
    """A call that the stand-in server makes while it runs a request.

    :ivar service: name of the service to call.
    :ivar path: path with a leading slash.
    :ivar plan: what the called server shall do.
    :ivar method: HTTP method.
    """

    service: str
    path: str
    plan: Plan
    method: str = 'POST'


@attrs.frozen
class NestedResult:
    """How a nested call ended.

    :ivar status: HTTP status, or 0 when the connection failed.
    :ivar kind: kind of refusal, empty for a backend server's answer.
    :ivar is_whole: whether the answer belongs to the call and is complete.
    :ivar instance: instance that answered.
    """

    service: str
    status: int
    kind: str = ''
    is_whole: bool = False
    instance: str = ''


@attrs.frozen
class AnswerHead:
    """First line of an answer.

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
    """An answer after the check.

    :ivar head: its first line, or None if that is not readable.
    :ivar is_whole: whether it is the complete answer to the request.
    """

    head: AnswerHead | None
    is_whole: bool


def encode_plan(plan):
    """Return the request body for ``plan``."""
    return msgspec.json.encode(plan)


def decode_plan(body):
    """Return the plan in a request body; an empty body is an empty plan.

    :raises msgspec.ValidationError: when the body is no plan.
    """
    return msgspec.json.decode(body, type=Plan) if body else Plan()


def compute_digest(method, path, body):
    """Return the digest of a request.

    :param path: path with the query.

    >>> compute_digest('GET', '/a', b'') == compute_digest('GET', '/b', b'')
    False
    """
    digest = hashlib.sha256(f'{method} {path}\n'.encode())
    digest.update(body)
    return digest.hexdigest()


def generate_filler(digest, length):
    """Yield the filler content that belongs to a request, in chunks.

    Every block differs, so that a lost or repeated chunk is noticed.

    :param digest: digest of the request.
    :param length: length in bytes.

    >>> len(b''.join(generate_filler('d', 40_000)))
    40000
    """
    seed = digest.encode()
    blocks = STREAM_CHUNK_BYTES // FILLER_BLOCK_BYTES
    for start in range(0, length, STREAM_CHUNK_BYTES):
        first = start // FILLER_BLOCK_BYTES
        chunk = b''.join(
            hashlib.blake2b(
                seed + number.to_bytes(8, 'big'), digest_size=32
            ).digest()
            for number in range(first, first + blocks)
        )
        yield chunk[: length - start]


def encode_head(head):
    """Return the first line of an answer."""
    return msgspec.json.encode(head) + b'\n'


def check_answer(digest, body):
    """Tell whether ``body`` is the complete answer to a request.

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
