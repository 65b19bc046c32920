"""Sizes of control messages, and memory of the links that carry them."""

import asyncio
import gc
import pathlib
import subprocess
import sys
import tempfile

import msgspec

from cactusloft_bench import _process_usage
from cactusloft_bench.capacity import _fits
from cactusloft_bench.capacity import _probes
import cactusloft_link as link
from cactusloft_model import clock
import cactusloft_quota as quota
from cactusloftd import _ledger_messages
from cactusloftd import _messages

LINK_COUNTS = (20, 80, 160)
SETTLE_S = 1.0


def probe_all():
    """Yield every :class:`Slope` of messages and links."""
    yield _fits.measure(
        'watch with report', 'services used', 'B', (2, 6, 12), _size_watch
    )
    yield _fits.measure(
        'members in a watch answer', 'members', 'B', (12, 48, 96), _size_table
    )
    yield _fits.measure(
        'lease request and grant', 'accounts', 'B', (1, 5, 20), _size_leases
    )
    yield _fits.measure(
        'memory of a link', 'links', 'KiB', LINK_COUNTS, _measure_links
    )


def _measure_frame(message):
    frame = link.Frame(
        link.FrameType.REQUEST, 1, 1, clock.Stamp(1, 1), message
    )
    return sum(map(len, _ledger_messages.CODEC.encode(frame)))


def _size_watch(services):
    names = tuple(f'service-{number}' for number in range(services))
    report = _messages.MembersReport(_probes.make_registration(1), names)
    content = msgspec.msgpack.encode(report)
    tables = (
        _messages.TableRequest('members', 1 << 30, content),
        _messages.TableRequest('group', 1 << 30, b''),
        _messages.TableRequest('marks', 1 << 30, b''),
    )
    return _measure_frame(
        _messages.Watch(
            daemon='daemon-00001',
            version=18_000,
            change_id='c' * 32,
            epoch=9,
            leader='l' * 32,
            hold_ms=1000,
            tables=tables,
        )
    )


def _size_table(members):
    table = _messages.MembersTable(
        1,
        ('service-1',),
        tuple(_probes.make_registration(number) for number in range(members)),
    )
    return len(msgspec.msgpack.encode(table))


def _size_leases(accounts):
    request = quota.LeaseRequest(
        'account-1', 'daemon-00001', 'b' * 13, 100, 3.5, 0.0, 0.0, 'a' * 32
    )
    grant = quota.Grant('account-1', 100, 'a' * 32, 100, 4.2, 3.0, 0.0)
    reply = _messages.LeaseReply(grant, 'l' * 32)
    return accounts * (_measure_frame(request) + _measure_frame(reply))


def _measure_links(count):
    """Return the growth of a process that connects to ``count`` peers."""
    code = (
        'from cactusloft_bench.capacity import _message_probes as probes; '
        f'print(probes.connect_links({count}))'
    )
    output = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        check=True,
        text=True,
    ).stdout
    return float(output)


def connect_links(count):
    """Connect to ``count`` listeners; return KiB of growth.

    Both ends of each link are in this process, so half of the growth is one
    end.
    """
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_connect(count, pathlib.Path(folder)))


async def _connect(count, folder):
    pairs = [link.make_key_pair() for _ in range(count + 1)]
    (folder / 'keys').write_bytes(pairs[0].public)
    client, *listeners = [_make_node(pair, folder / 'keys') for pair in pairs]
    addresses = [
        link.PeerAddress(
            f'127.0.0.1:{node.listen("127.0.0.1:0")}', pair.public.decode()
        )
        for node, pair in zip(listeners, pairs[1:], strict=True)
    ]
    await asyncio.sleep(SETTLE_S)
    gc.collect()
    before = _process_usage.read_usage('self').private_mb
    for each in [client.connect(address) for address in addresses]:
        await each.wait_until_up(10.0)
    await asyncio.sleep(SETTLE_S)
    grown = _process_usage.read_usage('self').private_mb - before
    for node in (client, *listeners):
        node.close()
    return grown * 1e6 / 1024 / 2


def _make_node(pair, keys_path):
    return link.LinkNode(
        _ledger_messages.CODEC,
        pair,
        link.AllowedKeys(keys_path),
        clock.HybridClock(lambda: 0),
    )
