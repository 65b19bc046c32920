"""Tests of background jobs."""

import asyncio

import pytest

import cactusloft_link as link
from cactusloft_link import _background


def test_unexpected_error_ends_a_background_job(monkeypatch):
    """Each error is reported, and the job starts again until cancelled."""
    monkeypatch.setattr(_background, 'RESTART_DELAY_S', 0.0)
    errors, starts = [], []

    async def run_job():
        starts.append(len(errors))
        if len(starts) < 3:
            raise KeyError(len(starts))
        await asyncio.Event().wait()

    async def run():
        task = asyncio.create_task(link.keep_running(run_job, errors.append))
        while len(starts) < 3:
            await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(run())
    assert starts == [0, 1, 2]
    assert [error.args for error in errors] == [(1,), (2,)]


def test_finished_job_starts_again():
    """A host without a disk has no store to write to, and no job for it."""
    starts = []

    async def run_job():
        starts.append(1)

    asyncio.run(link.keep_running(run_job, starts.append))
    assert starts == [1]
