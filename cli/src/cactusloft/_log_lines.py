"""Collected log lines of residents, narrowed to what is asked for.

A line is a JSON object, with or without a prefix such as the name of the host
that a collector puts before it. Lines of anything else are passed over.
"""

import json
import operator

import attrs

_ID_FIELDS = ('call_id', 'change_id', 'fingerprint')
# Backend servers put the id of the outer request before that of a nested one.
_NESTED_SEPARATOR = '.'


@attrs.frozen
class LogLine:
    """One event of one process.

    :ivar source: prefix of the line, or the file that it stands in.
    """

    timestamp: str
    source: str
    event: str
    fields: dict[str, object]


@attrs.frozen
class LineFilter:
    """Which lines to show; an empty text shows all.

    :ivar id: id of a request, change or fingerprint.
    :ivar event: name of an event.
    :ivar since: first timestamp.
    :ivar until: last timestamp.
    """

    id: str = ''
    event: str = ''
    since: str = ''
    until: str = ''

    def admits(self, line):
        """Tell whether a :class:`LogLine` is to be shown."""
        if self.event and line.event != self.event:
            return False
        if self.since and line.timestamp < self.since:
            return False
        if self.until and line.timestamp > self.until:
            return False
        return not self.id or any(
            _is_part(str(line.fields.get(name, '')), self.id)
            for name in _ID_FIELDS
        )


def read_lines(name, lines):
    """Yield the :class:`LogLine` of each line that is one.

    :param name: name of the file.
    :param lines: iterable of texts.
    """
    for text in lines:
        prefix, brace, rest = text.partition('{')
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        if not isinstance(fields, dict) or 'event' not in fields:
            continue
        yield LogLine(
            str(fields.pop('timestamp', '')),
            prefix.strip() or name,
            str(fields.pop('event')),
            fields,
        )


def merge_lines(lines, wanted):
    """Return the wanted lines in the order of their timestamps.

    :param lines: iterable of :class:`LogLine`.
    :param wanted: :class:`LineFilter`.
    """
    admitted = (line for line in lines if wanted.admits(line))
    return sorted(admitted, key=operator.attrgetter('timestamp'))


def _is_part(found, wanted):
    return found == wanted or found.startswith(wanted + _NESTED_SEPARATOR)
