"""Tests of the reading of requests, without a network."""

import itertools

import pytest

from cactusloft_admission import memory
from cactusloftd.resident import _http_reader

GET = b'GET /%d HTTP/1.1\r\nHost: x\r\n\r\n'
CHUNKED = (
    b'POST /2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'3\r\nabc\r\n0\r\nX-Key: forged\r\n\r\n'
)
FIXED = b'POST /3 HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody'


def make_reader(total_bytes=10_000_000):
    """Return a reader, its budget and a clock that counts its readings."""
    budget = memory.MemoryBudget(total_bytes)
    clock = itertools.count(1)
    reader = _http_reader.RequestReader(
        budget, lambda: next(clock), lambda: None
    )
    return reader, budget


def read_all(reader):
    """Return the requests that are complete, releasing what they hold."""
    requests = []
    while (received := reader.read()) is not None:
        received.hold.release()
        requests.append(received.request)
    return requests


@pytest.mark.parametrize('size', [1, 2, 3, 7, 1000])
def test_requests_split_anywhere_are_the_same(size):
    """Fixed, chunked and empty bodies behind one another."""
    reader, budget = make_reader()
    content = b'\r\n' + GET % 1 + CHUNKED + FIXED + CHUNKED + GET % 4
    requests = []
    for start in range(0, len(content), size):
        assert reader.feed(content[start : start + size])
        requests += read_all(reader)
    assert [request.target for request in requests] == [
        '/1',
        '/2',
        '/3',
        '/2',
        '/4',
    ]
    bodies = [bytes(request.body) for request in requests]
    assert bodies == [b'', b'abc', b'body', b'abc', b'']
    assert not requests[1].headers.get('X-Key')
    assert budget.held_bytes == 0
    assert not reader.is_receiving


def test_requests_behind_the_first_are_not_decoded():
    """Pipelined requests must cost no more than their bytes."""
    reader, budget = make_reader()
    content = b''.join(GET % number for number in range(1000))
    reader.feed(content)
    received = reader.read()
    assert received.request.target == '/0'
    assert reader.unread_bytes == len(content) - len(GET % 0)
    assert budget.held_bytes < len(content) + 2000


def test_unfinished_head_holds_its_bytes():
    """Decoded header lines take many times the memory of their bytes."""
    reader, budget = make_reader()
    head = b'GET / HTTP/1.1\r\n' + b'a:b\r\n' * 3000
    reader.feed(head)
    assert reader.read() is None
    assert budget.held_bytes == len(head)


def test_arrival_of_a_waiting_request_is_that_of_its_bytes():
    """Its timeout counts from then, not from its turn."""
    reader, _ = make_reader()
    reader.feed(GET % 1 + GET % 2)
    reader.feed(GET % 3)
    times = [request.read_at for request in read_all(reader)]
    assert times == [1, 1, 2]


@pytest.mark.parametrize(
    'content, status',
    [
        (b'GET / HTTP/1.1\r\nX: ' + b'y' * 70_000, 431),
        (b'GET / HTTP/1.1\r\n' + b'X: y\r\n' * 15_000 + b'\r\n', 431),
        (b'\r\n' * 100, 400),
        (b'POST / HTTP/1.1\r\nContent-Length: 68000000\r\n\r\n', 413),
        (b'POST / HTTP/1.1\r\nContent-Length: 300000\r\n\r\n', None),
        (b'GET / HTTP/1.1\r\n' + b'X: y\r\n' * 3000 + b'\r\n', 503),
    ],
)
def test_request_above_a_limit_is_refused(content, status):
    """What it holds is given back."""
    reader, budget = make_reader(total_bytes=230_000)
    is_kept = reader.feed(content)
    if status is None:
        assert is_kept
        assert reader.read() is None
    elif is_kept:
        with pytest.raises(_http_reader.MalformedRequestError) as raised:
            reader.read()
        assert raised.value.status == status
    reader.release()
    assert budget.held_bytes == 0


def test_head_behind_a_chunked_body_holds_its_lines():
    """It is parsed together with the end of the body before it."""
    reader, budget = make_reader()
    reader.feed(CHUNKED + b'GET / HTTP/1.1\r\n' + b'a:b\r\n' * 2000)
    reader.read().hold.release()
    assert budget.held_bytes > 2000 * 150
    reader.release()
    assert budget.held_bytes == 0


def test_heads_behind_chunked_bodies_have_a_limit():
    """A crowd of them must not hold more than the budget."""
    reader, _ = make_reader(total_bytes=300_000)
    reader.feed(CHUNKED + b'GET / HTTP/1.1\r\n' + b'a:b\r\n' * 2000)
    assert reader.read().request.target == '/2'
    with pytest.raises(_http_reader.MalformedRequestError) as raised:
        reader.read()
    assert raised.value.status == 503
