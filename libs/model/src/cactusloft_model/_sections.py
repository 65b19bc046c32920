"""Sections of a document, and the difference between two documents.

Daemons receive the changed sections only. At the planned size, parsing the
whole document for each of 18,000 changes a day would cost a daemon several
times its CPU budget.
"""

import sys

import attrs


@attrs.frozen
class Section:
    """One section of the document.

    :ivar name: kind and item name, such as ``route book``.
    :ivar values: pairs of key and text, in document order.
    """

    name: str
    values: tuple[tuple[str, str], ...]


@attrs.frozen
class Changes:
    """The difference from one document to another.

    :ivar changed: sections that were added or modified.
    :ivar removed: names of sections that were removed.
    """

    changed: tuple[Section, ...]
    removed: tuple[str, ...]


def make_section(name, items):
    """Return a :class:`Section`.

    Keys and texts are interned, since most of them recur in many sections.

    :param items: iterable of pairs of key and text.
    """
    pairs = ((sys.intern(key), sys.intern(text)) for key, text in items)
    return Section(name, tuple(pairs))


def list_changes(old, new):
    """Return the :class:`Changes` from ``old`` to ``new``.

    :param old: mapping from name to :class:`Section`.
    :param new: mapping from name to :class:`Section`.
    """
    changed = (s for name, s in new.items() if old.get(name) != s)
    removed = (name for name in old if name not in new)
    return Changes(tuple(changed), tuple(removed))


def apply_changes(sections, changes):
    """Return a copy of ``sections`` with ``changes`` applied.

    >>> old = {'a': Section('a', ()), 'b': Section('b', ())}
    >>> new = {'a': Section('a', (('x', '1'),)), 'c': Section('c', ())}
    >>> apply_changes(old, list_changes(old, new)) == new
    True
    """
    patched = dict(sections)
    for name in changes.removed:
        patched.pop(name, None)
    for section in changes.changed:
        patched[section.name] = section
    return patched
