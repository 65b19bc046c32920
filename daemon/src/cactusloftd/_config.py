"""Sources of the document in force on this daemon."""

import typing

from cactusloft_model import document


class Config(typing.Protocol):
    """The document in force and whether it is confirmed as current."""

    @property
    def current(self) -> document.Document:
        """Return the installed document."""

    def is_fresh(self) -> bool:
        """Tell whether keyed routes may be served."""


class FileConfig:
    """A fixed document, read from a file at the start.

    :param text: text of a valid document.
    :raises UserError: when the document is not valid.
    """

    def __init__(self, text):
        self.current = document.parse_document(text).unwrap()

    def is_fresh(self):
        """Return True, since a document from a file needs no confirmation."""
        return True
