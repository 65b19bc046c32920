"""Merging and filtering of collected log lines of residents.

A log line is a JSON object, which may follow a prefix that a log collector
adds, such as the host name. Lines of any other form are ignored.
"""

import json
import operator

import attrs

_ID_FIELDS = ('call_id', 'change_id', 'fingerprint')
# Separates the id of a nested request from that of the outer request, which
# backend servers put before it.
_NESTED_SEPARATOR = '.'


@attrs.frozen
class LogLine:
    """Event that one process logged.

    :ivar source: prefix of the line, or the name of its file if it has none.
    """

    timestamp: str
    source: str
    event: str
    fields: dict[str, object]


@attrs.frozen
class LineFilter:
    """Conditions on log lines; an empty one matches every line.

    :ivar id: id of a request or change, or a fingerprint; nested requests of
        the request match too.
    :ivar event: name of an event.
    :ivar since: earliest timestamp.
    :ivar until: latest timestamp.
    """

    id: str = ''
    event: str = ''
    since: str = ''
    until: str = ''

    def matches(self, line):
        """Return whether a :class:`LogLine` meets all conditions."""
        if self.event and line.event != self.event:
            return False
        if self.since and line.timestamp < self.since:
            return False
        if self.until and line.timestamp > self.until:
            return False
        return not self.id or any(
            _is_same_or_nested(str(line.fields.get(name, '')), self.id)
            for name in _ID_FIELDS
        )


def read_lines(name, lines):
    """Parse the log lines of a file, ignoring any other lines.

    :param name: name of the file.
    :param lines: iterable of strings.
    :returns: iterator over :class:`LogLine`.
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


def merge_lines(lines, line_filter):
    """Return the matching lines in the order of their timestamps.

    :param lines: iterable of :class:`LogLine`.
    :param line_filter: :class:`LineFilter`.
    """
    matching = (line for line in lines if line_filter.matches(line))
    return sorted(matching, key=operator.attrgetter('timestamp'))


def _is_same_or_nested(request_id, wanted_id):
    nested_prefix = wanted_id + _NESTED_SEPARATOR
    return request_id == wanted_id or request_id.startswith(nested_prefix)
