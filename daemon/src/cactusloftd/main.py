"""Command line of the daemon."""

import argparse
import asyncio
import logging
import pathlib
import signal
import sys

import structlog

from cactusloft_consensus import storage
from cactusloftd import _settings
from cactusloftd import _wiring

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def main(arguments=None):
    """Run the daemon until SIGTERM or SIGINT; return the exit code."""
    parser = argparse.ArgumentParser(
        prog='cactusloftd', description='Overload control daemon.'
    )
    parser.add_argument('settings', help='path of the settings file (INI)')
    parser.add_argument(
        '--check', action='store_true', help='check the settings and exit'
    )
    options = parser.parse_args(arguments)
    try:
        text = pathlib.Path(options.settings).read_text()
    except (OSError, UnicodeDecodeError) as error:
        print(f'cactusloftd: {error}', file=sys.stderr)
        return EXIT_USAGE
    parsed = _settings.parse_settings(text)
    for fault in parsed.swap().value_or(()):
        print(f'{options.settings}: {fault}', file=sys.stderr)
    if parsed.value_or(None) is None:
        return EXIT_USAGE
    if options.check:
        return EXIT_OK
    settings = parsed.unwrap()
    configure_logging(settings.log_level)
    try:
        asyncio.run(_run(settings))
    except (OSError, storage.StorageError) as error:
        print(f'cactusloftd: {error}', file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


def configure_logging(level):
    """Configure structlog to write events as JSON lines to standard error."""
    level_number = getattr(logging, level.upper())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level_number),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )


async def _run(settings):
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await _wiring.Daemon(settings).run(stop)


if __name__ == '__main__':
    sys.exit(main())
