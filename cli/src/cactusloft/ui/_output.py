"""Output of commands as text or JSON, and the exit codes."""

import sys

import msgspec

from cactusloft_model import errors

EXIT_OK = 0
EXIT_INTERNAL = 1
EXIT_USAGE = 2
EXIT_INVALID = 3
EXIT_CONFLICT = 4
EXIT_UNAVAILABLE = 5
EXIT_REFUSED = 6

_E = errors.ErrorKind
_EXIT_CODES = {
    _E.DOCUMENT_INVALID: EXIT_INVALID,
    _E.VERSION_CONFLICT: EXIT_CONFLICT,
    _E.CONTROL_UNAVAILABLE: EXIT_UNAVAILABLE,
    _E.INTERNAL: EXIT_INTERNAL,
}


class Output:
    """Write results.

    :param as_json: whether to write one JSON document instead of text.
    """

    def __init__(self, as_json):
        self._as_json = as_json

    def show(self, content, lines):
        """Write a result; return the exit code.

        :param content: attrs object or tuple of them, for JSON.
        :param lines: iterable of lines, for text.
        """
        if self._as_json:
            print(msgspec.json.encode(content).decode())
        else:
            for line in lines:
                print(line)
        return EXIT_OK

    def report(self, problem):
        """Write a :class:`Problem`; return the exit code."""
        if self._as_json:
            print(msgspec.json.encode(problem).decode())
        for fault in problem.faults:
            print(fault, file=sys.stderr)
        if not problem.faults:
            text = problem.title
            if problem.detail:
                text += f': {problem.detail}'
            print(f'cactusloft: {text}', file=sys.stderr)
        return _EXIT_CODES.get(problem.kind, EXIT_REFUSED)

    def warn(self, text):
        """Write a note that does not belong to the result."""
        print(f'cactusloft: {text}', file=sys.stderr)


def format_table(heads, rows):
    """Return lines with aligned columns.

    >>> list(format_table(('A', 'B'), [('x', 12), ('long', 3)]))
    ['A     B', 'x     12', 'long  3']
    """
    texts = [heads, *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*texts)]
    for row in texts:
        cells = (cell.ljust(width) for cell, width in zip(row, widths))
        yield '  '.join(cells).rstrip()
