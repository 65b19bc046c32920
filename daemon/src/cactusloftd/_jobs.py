"""Background jobs of a daemon."""

import asyncio
import functools

import cactusloft_link as link
from cactusloftd import _internal_errors


def start_job(run, log):
    """Start a job that goes on after unexpected errors; return its task.

    :param run: coroutine function of the job, which runs until cancelled.
    :param log: :class:`events.EventLog`.
    """
    on_error = functools.partial(_internal_errors.record_error, log)
    return asyncio.create_task(link.keep_running(run, on_error))
