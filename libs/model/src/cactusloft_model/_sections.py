"""Sections of a document, and the difference between two documents.

Changes travel to daemons by section: parsing the whole document for each of
18,000 changes a day would cost a daemon several times its processor budget at
the planned size.
"""

import sys

import attrs


@attrs.frozen
class Section:
    """One section of a document.

    :ivar name: kind and name, such as ``route book``.
    :ivar values: pairs of key and text in the order of the document.
    """

    name: str
    values: tuple[tuple[str, str], ...]


@attrs.frozen
class Changes:
    """What turns one document into another.

    :ivar changed: sections that are new or have other values.
    :ivar removed: names of sections that are gone.
    """

    changed: tuple[Section, ...]
    removed: tuple[str, ...]


def make_section(name, items):
    """Return a :class:`Section`.

    Equal texts are held once: keys and most values repeat in every section.

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
    """Return the sections after ``changes``.

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
