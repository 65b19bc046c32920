"""Log lines on faults of the daemon's own code."""

import pathlib
import traceback

from cactusloft_model import events


def record_error(log, error):
    """Log the place of an internal error, without data of clients.

    :param log: :class:`events.EventLog`.
    :param error: exception; of a group, the first one is logged.
    """
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frame = traceback.extract_tb(error.__traceback__)[-1]
    log.record(
        events.Event.INTERNAL_ERROR,
        error=type(error).__name__,
        place=f'{pathlib.Path(frame.filename).name}:{frame.lineno}',
    )
