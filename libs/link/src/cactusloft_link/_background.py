"""Background jobs that outlive unexpected errors."""

import asyncio

# Limits the rate of errors of a job that fails right after each start.
RESTART_DELAY_S = 0.5


async def keep_running(run, on_error):
    """Run a job until it returns; start it again after an error.

    An error in a task that nobody awaits would otherwise go unnoticed while
    the process goes on without it.

    :param run: coroutine function of the job.
    :param on_error: function called with each exception.
    """
    while True:
        try:
            return await run()
        except Exception as error:
            on_error(error)
        await asyncio.sleep(RESTART_DELAY_S)
