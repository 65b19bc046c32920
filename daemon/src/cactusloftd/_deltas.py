"""Differences between two texts of the document, by section."""

import hashlib

import attrs


@attrs.frozen
class Part:
    """One section of the new text.

    :ivar position: place of an equal section in the old text, or -1.
    :ivar text: the section when the old text has no equal one.
    """

    position: int
    text: str


@attrs.frozen
class Delta:
    """How to make a text from another one.

    :ivar base_version: version of the old text.
    :ivar digest: SHA-256 of the new text in hexadecimal digits.
    """

    base_version: int
    digest: str
    parts: tuple[Part, ...]


def make_delta(base_version, old, new):
    """Return the :class:`Delta` from ``old`` to ``new``."""
    positions = {
        section: position
        for position, section in enumerate(split_sections(old))
    }
    parts = (
        Part(positions[section], '')
        if section in positions
        else Part(-1, section)
        for section in split_sections(new)
    )
    return Delta(base_version, _compute_digest(new), tuple(parts))


def apply_delta(delta, old):
    """Return the new text, or None if ``old`` is not the right base.

    >>> old, new = '[a]\\n1\\n[b]\\n2\\n', '[b]\\n2\\n[c]\\n3'
    >>> apply_delta(make_delta(1, old, new), old) == new
    True
    >>> apply_delta(make_delta(1, old, new), new) is None
    True
    """
    sections = split_sections(old)
    if any(part.position >= len(sections) for part in delta.parts):
        return None
    text = ''.join(
        part.text if part.position < 0 else sections[part.position]
        for part in delta.parts
    )
    return text if _compute_digest(text) == delta.digest else None


def split_sections(text):
    """Return the pieces of ``text`` that each begin with a section line."""
    sections, lines = [], []
    for line in text.splitlines(keepends=True):
        if line.startswith('[') and lines:
            sections.append(''.join(lines))
            lines = []
        lines.append(line)
    sections.append(''.join(lines))
    return sections


def _compute_digest(text):
    return hashlib.sha256(text.encode()).hexdigest()
