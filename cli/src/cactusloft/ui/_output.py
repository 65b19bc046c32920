"""Writing of results and problems as text or JSON, and the exit codes."""

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
    """Write the results and problems of commands.

    :param as_json: whether to write one JSON document instead of text.
    """

    def __init__(self, as_json):
        self._as_json = as_json

    def write_result(self, content, lines):
        """Write a result to standard output; return the exit code.

        :param content: attrs object or tuple of them, for JSON.
        :param lines: iterable of lines, for text.
        """
        if self._as_json:
            print(msgspec.json.encode(content).decode())
        else:
            for line in lines:
                print(line)
        return EXIT_OK

    def report_problem(self, problem):
        """Write a :class:`Problem` to standard error; return the exit code.

        In JSON mode, also write it to standard output.
        """
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
        """Write a message to standard error, apart from the result."""
        print(f'cactusloft: {text}', file=sys.stderr)


def format_table(headings, rows):
    """Yield the lines of a table with aligned columns.

    >>> list(format_table(('A', 'B'), [('x', 12), ('long', 3)]))
    ['A     B', 'x     12', 'long  3']
    """
    text_rows = [headings, *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*text_rows)]
    for row in text_rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths))
        yield '  '.join(cells).rstrip()
