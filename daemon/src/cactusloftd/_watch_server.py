"""Answers to watches, on control hosts.

A control host answers from its control replica while that is confirmed, and
otherwise from what it has installed itself by watching another control host.
"""

import asyncio
import typing

import attrs

from cactusloftd import _deltas
from cactusloftd import _messages

MAX_HOLD_S = 2.0


class TableOwner(typing.Protocol):
    """State that control hosts relay without reading it."""

    def exchange(self, daemon: str, request: _messages.TableRequest):
        """Take a daemon's report; return a newer ``Table``, or None."""


@attrs.frozen
class Source:
    """Document state that watches are answered from.

    :ivar relays: control hosts between this state and a control replica.
    :ivar find_text: function that returns the text of a recent version.
    """

    version: int
    confirmed_at: float | None
    relays: int
    find_text: typing.Callable[[int], str | None]


class WatchServer:
    """Serve ``Watch`` requests.

    :param find_source: function that returns the best :class:`Source`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, find_source, now):
        self._find_source = find_source
        self._now = now
        self._owners = {}
        self._changed = None

    def attach(self, name, owner):
        """Relay the table ``name`` of a :class:`TableOwner`."""
        self._owners[name] = owner

    def notify(self):
        """Wake the waiting watches after any change."""
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    async def answer(self, watch, _age_s):
        """Answer at once if anything changed, else after the hold time."""
        limit = self._now() + min(watch.hold_ms / 1000, MAX_HOLD_S)
        while True:
            tables = self._exchange(watch)
            has_changed = self._find_source().version > watch.version
            remaining = limit - self._now()
            if tables or has_changed or remaining <= 0:
                return self._make_answer(watch, tables)
            await self._wait(remaining)

    async def _wait(self, timeout_s):
        if self._changed is None:
            self._changed = asyncio.Event()
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except TimeoutError:
            # The hold time is over: the caller answers without a change.
            return

    def _exchange(self, watch):
        answers = (
            self._owners[request.name].exchange(watch.daemon, request)
            for request in watch.tables
            if request.name in self._owners
        )
        return tuple(table for table in answers if table is not None)

    def _make_answer(self, watch, tables):
        source = self._find_source()
        text, delta = None, None
        if source.version > watch.version:
            text = source.find_text(source.version)
            base = source.find_text(watch.version)
            if base and text is not None:
                delta = _deltas.make_delta(watch.version, base, text)
                text = None
        age_s = None
        if source.confirmed_at is not None:
            age_s = self._now() - source.confirmed_at
        return _messages.WatchAnswer(
            version=source.version,
            age_s=age_s,
            relays=source.relays,
            text=text,
            delta=delta,
            tables=tables,
        )
