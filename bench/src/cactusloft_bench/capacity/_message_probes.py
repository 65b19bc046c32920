"""Measure the sizes of control messages and the memory of links."""

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
SETTLE_DELAY_S = 1.0
CONNECT_TIMEOUT_S = 10.0


def probe_all():
    """Yield the :class:`_fits.Slope` of each message size and of a link."""
    yield _fits.measure(
        'watch with report',
        'services used',
        'B',
        (2, 6, 12),
        _compute_watch_bytes,
    )
    yield _fits.measure(
        'members in a watch answer',
        'members',
        'B',
        (12, 48, 96),
        _compute_table_bytes,
    )
    yield _fits.measure(
        'lease request and grant',
        'accounts',
        'B',
        (1, 5, 20),
        _compute_lease_bytes,
    )
    yield _fits.measure(
        'memory of a link', 'links', 'KiB', LINK_COUNTS, _measure_link_memory
    )


def _compute_frame_bytes(message):
    frame = link.Frame(
        link.FrameType.REQUEST, 1, 1, clock.Stamp(1, 1), message
    )
    return sum(map(len, _ledger_messages.CODEC.encode(frame)))


def _compute_watch_bytes(services):
    names = tuple(f'service-{number}' for number in range(services))
    report = _messages.MembersReport(_probes.make_registration(1), names)
    content = msgspec.msgpack.encode(report)
    tables = (
        _messages.TableRequest('members', 1 << 30, content),
        _messages.TableRequest('group', 1 << 30, b''),
        _messages.TableRequest('marks', 1 << 30, b''),
    )
    return _compute_frame_bytes(
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


def _compute_table_bytes(members):
    table = _messages.MembersTable(
        1,
        ('service-1',),
        tuple(_probes.make_registration(number) for number in range(members)),
    )
    return len(msgspec.msgpack.encode(table))


def _compute_lease_bytes(accounts):
    request = quota.LeaseRequest(
        'account-1', 'daemon-00001', 'b' * 13, 100, 3.5, 0.0, 0.0, 'a' * 32
    )
    grant = quota.Grant('account-1', 100, 'a' * 32, 100, 4.2, 3.0, 0.0)
    reply = _messages.LeaseReply(grant, 'l' * 32)
    return accounts * (
        _compute_frame_bytes(request) + _compute_frame_bytes(reply)
    )


def _measure_link_memory(count):
    """Return the result of :func:`connect_links` in a new process.

    A new process keeps earlier allocations out of the measurement.
    """
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
    """Open ``count`` links and return the memory that one end of them takes.

    Both ends of each link are in this process, so one end takes half of the
    growth in private memory.

    :returns: memory of ``count`` link ends in KiB.
    """
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_measure_link_ends(count, pathlib.Path(folder)))


async def _measure_link_ends(count, folder):
    pairs = [link.make_key_pair() for _ in range(count + 1)]
    (folder / 'keys').write_bytes(pairs[0].public)
    client, *listeners = [_make_node(pair, folder / 'keys') for pair in pairs]
    addresses = [
        link.PeerAddress(
            f'127.0.0.1:{node.listen("127.0.0.1:0")}', pair.public.decode()
        )
        for node, pair in zip(listeners, pairs[1:], strict=True)
    ]
    await asyncio.sleep(SETTLE_DELAY_S)
    gc.collect()
    before_mb = _process_usage.read_usage('self').private_mb
    for peer in [client.connect(address) for address in addresses]:
        await peer.wait_until_up(CONNECT_TIMEOUT_S)
    await asyncio.sleep(SETTLE_DELAY_S)
    growth_mb = _process_usage.read_usage('self').private_mb - before_mb
    for node in (client, *listeners):
        node.close()
    return growth_mb * 1e6 / 1024 / 2


def _make_node(pair, keys_path):
    return link.LinkNode(
        _ledger_messages.CODEC,
        pair,
        link.AllowedKeys(keys_path),
        clock.HybridClock(lambda: 0),
    )
