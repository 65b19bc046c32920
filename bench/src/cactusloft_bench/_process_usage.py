"""Memory and processor time of a process, read from ``/proc``."""

import os
import pathlib

import attrs

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_KIB_PER_MB = 1000 * 1000 / 1024


@attrs.frozen
class Usage:
    """Resource usage of a process at one moment.

    :ivar resident_mb: resident memory in megabytes.
    :ivar private_mb: anonymous resident memory (``RssAnon``) in megabytes.
    :ivar processor_s: user and system time since its start, in seconds.
    """

    resident_mb: float
    private_mb: float
    processor_s: float


def read_usage(pid):
    """Return the :class:`Usage` of a running process."""
    folder = pathlib.Path('/proc') / str(pid)
    status = dict(
        line.split(':', 1)
        for line in (folder / 'status').read_text().splitlines()
    )
    # The program name in parentheses may contain spaces; split after it.
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return Usage(
        resident_mb=_read_kib(status, 'VmRSS') / _KIB_PER_MB,
        private_mb=_read_kib(status, 'RssAnon') / _KIB_PER_MB,
        processor_s=ticks / _TICKS_PER_S,
    )


def _read_kib(status, name):
    """Return a size from ``/proc/PID/status`` in kibibytes."""
    return int(status[name].split()[0])
