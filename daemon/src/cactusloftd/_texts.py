"""Incremental parsing of document texts.

Only sections that changed are parsed again. Control replicas parse each
accepted text, and parsing all of 12,000 sections takes about 1 s, which is
longer than a leader may be unresponsive.
"""

import threading

from returns import pipeline
from returns import result

from cactusloft_model import document
from cactusloft_model import ini


class TextParser:
    """Parse texts that differ little from the previous one.

    Safe to use from several threads.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._text = ''
        self._parsed = result.Success(document.EMPTY_DOCUMENT)
        self._document = document.EMPTY_DOCUMENT
        self._pieces = {}

    def has_parsed(self, text):
        """Return whether ``text`` was parsed last; its result is cached."""
        return text == self._text

    def parse(self, text):
        """Parse a text; same result as ``document.parse_document``."""
        with self._lock:
            if text != self._text:
                self._parsed = self._parse(text)
                self._text = text
            return self._parsed

    def _parse(self, text):
        pieces = self._read_pieces(text)
        sections = _merge(pieces) if pieces is not None else None
        if sections is None:
            # A full parse reports every fault with its position.
            return document.parse_document(text)
        changes = document.list_changes(self._document.sections, sections)
        parsed = document.patch_document(self._document, changes)
        if pipeline.is_successful(parsed):
            self._pieces = pieces
            self._document = parsed.unwrap()
        return parsed

    def _read_pieces(self, text):
        """Return the sections of each piece, or None for an invalid text."""
        if len(text.encode()) > document.MAX_DOCUMENT_BYTES:
            return None
        pieces = {}
        for piece in split_text(text):
            sections = self._pieces.get(piece)
            if sections is None:
                sections = _read_sections(piece)
            if sections is None or piece in pieces:
                return None
            pieces[piece] = sections
        return pieces


def split_text(text):
    """Split a text into pieces, each of which begins with a section header.

    A line that starts with "[" is always a section header, so each piece has
    the same meaning alone as within the whole text.

    >>> split_text('# note\\n[a]\\nx = 1\\n [y]\\n[b]\\n')
    ['# note\\n', '[a]\\nx = 1\\n [y]\\n', '[b]\\n']
    """
    first, *rest = text.split('\n[')
    pieces = [f'{piece}\n' for piece in [first, *(f'[{r}' for r in rest)]]
    pieces[-1] = pieces[-1][:-1]
    return [piece for piece in pieces if piece]


def _read_sections(piece):
    """Return the sections of a piece, or None for an invalid piece."""
    faults = []
    parser = ini.parse_ini(piece, faults)
    if faults:
        return None
    return tuple(
        document.make_section(name, parser[name].items())
        for name in parser.sections()
    )


def _merge(pieces):
    """Return sections by name, or None if a name occurs twice."""
    sections = [s for in_piece in pieces.values() for s in in_piece]
    by_name = {section.name: section for section in sections}
    return by_name if len(by_name) == len(sections) else None
