"""Stub backend server: serves calls and injects faults on request.

It serves calls on any path except those under ``/_stand_in/``, where tests
control it: ``records``, ``behaviour``, ``drain`` and ``leave``.
"""

import asyncio
import os
import time

import aiohttp
from aiohttp import web
import attrs
import msgspec

from cactusloft_bench import _announcer
from cactusloft_bench import _behaviour
from cactusloft_bench import _nested
from cactusloft_bench import _plans
from cactusloft_bench import _records

CRASH_EXIT_CODE = 70
FROZEN_POLL_INTERVAL_S = 0.05
DEADLINE_HEADER = 'Cactusloft-Deadline-Ms'
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_OUTGOING_CONNECTIONS = 1000


class StubBackendServer:
    """HTTP server that executes the plans in its requests.

    :param settings: :class:`_behaviour.ServerSettings`.
    :param behaviour: initial :class:`_behaviour.Behaviour`.
    """

    def __init__(self, settings, behaviour):
        self._settings = settings
        self._behaviour = behaviour
        self._records = _records.Records()
        self._slots = asyncio.Semaphore(settings.slots)
        self._started_at = time.monotonic()
        self._in_flight = 0
        self._waiting = 0
        self._session = None
        self._runner = None
        self._announcer = None
        self._announce_task = None
        self.url = ''

    async def start(self):
        """Listen, and announce the server to its daemon if one is set."""
        connector = aiohttp.TCPConnector(limit=MAX_OUTGOING_CONNECTIONS)
        self._session = aiohttp.ClientSession(connector=connector)
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get('/_stand_in/records', self._show_records)
        app.router.add_patch('/_stand_in/behaviour', self._change_behaviour)
        app.router.add_post('/_stand_in/drain', self._drain)
        app.router.add_post('/_stand_in/leave', self._leave)
        app.router.add_route('*', '/{path:.*}', self._serve_call)
        # Under the caller contract, closing the connection cancels the call.
        self._runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None
        )
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, self._settings.host, self._settings.port
        )
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.url = f'http://{host}:{port}'
        self._announcer = _announcer.Announcer(
            self._settings, self.url, self._session, self._compute_load
        )
        if self._settings.daemon_url:
            self._announce_task = asyncio.create_task(self._announcer.run())

    async def stop(self):
        """Withdraw the announcement, finish calls in flight and close."""
        if self._settings.daemon_url:
            await self._announcer.leave()
        if self._announce_task is not None:
            self._announce_task.cancel()
        await self._runner.cleanup()
        await self._session.close()

    def _compute_load(self):
        if self._behaviour.reported_load is not None:
            return self._behaviour.reported_load
        return (self._in_flight + self._waiting) / self._settings.slots

    async def _show_records(self, _request):
        snapshot = self._records.take_snapshot(
            self._settings.service, self._settings.instance
        )
        return web.Response(
            body=msgspec.json.encode(snapshot),
            content_type='application/json',
        )

    async def _change_behaviour(self, request):
        changes = await request.json()
        changed = attrs.asdict(self._behaviour) | changes
        try:
            self._behaviour = msgspec.convert(changed, _behaviour.Behaviour)
        except msgspec.ValidationError as error:
            return web.Response(status=400, text=str(error))
        return web.json_response(attrs.asdict(self._behaviour))

    async def _drain(self, _request):
        await self._announcer.drain()
        return web.Response(status=204)

    async def _leave(self, _request):
        await self._announcer.leave()
        return web.Response(status=204)

    async def _serve_call(self, request):
        self._records.record_headers(request.headers)
        body = await request.read()
        try:
            plan = _plans.decode_plan(body)
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=f'invalid plan: {error}')
        if self._waiting >= self._behaviour.shed_above:
            self._records.count('shed')
            return web.Response(
                status=503, headers={'Cactusloft-Not-Run': 'true'}
            )
        try:
            response = await self._run_in_slot(request, plan, body)
        except asyncio.CancelledError:
            self._records.count('cancelled')
            raise
        self._records.count('finished')
        return response

    async def _run_in_slot(self, request, plan, body):
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._in_flight += 1
        try:
            self._records.record_start(request.headers, self._in_flight)
            return await self._run_call(request, plan, body)
        finally:
            self._in_flight -= 1
            self._slots.release()

    async def _run_call(self, request, plan, body):
        if plan.crash:
            os._exit(CRASH_EXIT_CODE)
        deadline_ms = int(request.headers.get(DEADLINE_HEADER, 600_000))
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                nested = await self._work(request, plan)
        except TimeoutError:
            return web.Response(status=504, text='deadline passed')
        head = _plans.AnswerHead(
            digest=_plans.compute_digest(
                request.method, request.raw_path, body
            ),
            service=self._settings.service,
            instance=self._settings.instance,
            filler_bytes=plan.answer_bytes,
            nested=nested,
        )
        # A failed nested call fails the whole response, as in a service that
        # depends on the nested call.
        status = 200 if all(result.is_whole for result in nested) else 502
        if plan.answer_bytes <= _plans.STREAM_CHUNK_BYTES:
            filler = _plans.generate_filler(head.digest, plan.answer_bytes)
            content = _plans.encode_head(head) + b''.join(filler)
            return web.Response(status=status, body=content)
        return await self._stream(request, status, plan, head)

    async def _work(self, request, plan):
        age_s = time.monotonic() - self._started_at
        work_s = self._behaviour.compute_work_s(plan.work_ms, age_s)
        await asyncio.sleep(work_s)
        while self._behaviour.is_frozen:
            await asyncio.sleep(FROZEN_POLL_INTERVAL_S)
        token = request.headers.get(_nested.CALL_TOKEN_HEADER, '')
        nested = ()
        for call in plan.calls:
            nested += await _nested.run_nested_call(
                self._session, self._settings.daemon_url, token, call
            )
        return nested

    async def _stream(self, request, status, plan, head):
        response = web.StreamResponse(status=status)
        response.enable_chunked_encoding()
        await response.prepare(request)
        await response.write(_plans.encode_head(head))
        for chunk in _plans.generate_filler(head.digest, plan.answer_bytes):
            await response.write(chunk)
            await asyncio.sleep(plan.pause_ms / 1000)
        await response.write_eof()
        return response
