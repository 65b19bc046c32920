"""Tests of the background jobs of a daemon."""

import asyncio

from cactusloftd import _jobs


class Log:
    """An event log that keeps its lines."""

    def __init__(self):
        self.lines = []

    def record(self, event, **fields):
        """Keep a line."""
        self.lines.append((event.name, fields))


def test_failed_job_leaves_no_line_in_the_log():
    """The line tells the place, also of an error in a group of tasks."""
    log = Log()

    async def fail():
        raise ValueError('secret of a client')

    async def run_job():
        async with asyncio.TaskGroup() as group:
            group.create_task(fail())

    async def run():
        task = _jobs.start_job(run_job, log)
        while not log.lines:
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(run())
    [(name, fields)] = log.lines
    assert name == 'INTERNAL_ERROR'
    assert fields['error'] == 'ValueError'
    assert fields['place'].startswith('test_jobs.py:')
    assert 'secret' not in str(fields)
