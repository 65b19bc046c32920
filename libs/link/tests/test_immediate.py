"""Tests of tasks and wake-ups that continue without another loop turn."""

import asyncio

import pytest

import cactusloft_link as link


def run_in_loop(function):
    """Call ``function`` in an event loop and return its result."""

    async def run():
        return await function()

    return asyncio.run(run())


def test_task_runs_until_its_first_wait():
    """A call must be on its way before its handler's caller continues."""

    async def run():
        steps = []
        wakeup = link.Wakeup()

        async def work():
            steps.append('started')
            await wakeup
            steps.append('woken')

        task = link.ImmediateTask(work(), steps.append)
        steps.append('created')
        # Wake-ups from callbacks of the loop continue the task at once.
        asyncio.get_running_loop().call_soon(wakeup.set)
        asyncio.get_running_loop().call_soon(steps.append, 'later')
        await asyncio.sleep(0.01)
        assert task.done()
        return steps

    assert run_in_loop(run) == ['started', 'created', 'woken', 'later']


def test_wakeup_inside_a_task_waits_for_its_next_wait():
    """Two tasks must never run inside each other after a wake-up."""

    async def run():
        steps = []
        wakeup = link.Wakeup()

        async def work():
            await wakeup
            steps.append('woken')

        task = link.ImmediateTask(work(), steps.append)
        wakeup.set()
        steps.append('set')
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert task.done()
        return steps

    assert run_in_loop(run) == ['set', 'woken']


def test_error_ends_only_its_task():
    """An unexpected error in one call must not reach the event loop."""

    async def run():
        errors = []

        async def fail():
            raise ValueError('one call')

        link.ImmediateTask(fail(), errors.append)
        return [str(error) for error in errors]

    assert run_in_loop(run) == ['one call']


@pytest.mark.parametrize('wait', [asyncio.Event, link.Wakeup])
def test_cancelled_task_cleans_up(wait):
    """A client that leaves must free what its call holds."""

    async def run():
        steps = []

        async def work():
            event = wait()
            try:
                if isinstance(event, link.Wakeup):
                    await event
                else:
                    await event.wait()
            finally:
                steps.append('cleaned up')

        task = link.ImmediateTask(work(), steps.append)
        task.cancel()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert task.done()
        return steps

    assert run_in_loop(run) == ['cleaned up']


@pytest.mark.parametrize('is_immediate', [True, False])
def test_limit_ends_a_wait(is_immediate):
    """A peer that never answers must not hold a call for ever."""

    async def run():
        outcomes = []

        async def work():
            try:
                with link.limit(0.03):
                    await link.Wakeup()
            except TimeoutError:
                outcomes.append('timeout')

        if is_immediate:
            link.ImmediateTask(work(), outcomes.append)
        else:
            asyncio.get_running_loop().create_task(work())
        await asyncio.sleep(0.2)
        return outcomes

    assert run_in_loop(run) == ['timeout']


def test_limit_passes_a_cancellation_on():
    """A cancellation by the client is not a timeout of the call."""

    async def run():
        async def work():
            with link.limit(5.0):
                await asyncio.sleep(5.0)

        task = asyncio.get_running_loop().create_task(work())
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    run_in_loop(run)


def test_limits_expire_in_their_order():
    """A short limit set after a long one must not wait for the long one."""

    async def run():
        outcomes = []

        async def work(name, timeout_s):
            try:
                with link.limit(timeout_s):
                    await link.Wakeup()
            except TimeoutError:
                outcomes.append(name)

        tasks = [
            link.ImmediateTask(work(name, timeout_s), outcomes.append)
            for name, timeout_s in (('long', 0.2), ('short', 0.04))
        ]
        await asyncio.sleep(0.5)
        assert all(task.done() for task in tasks)
        return outcomes

    assert run_in_loop(run) == ['short', 'long']
