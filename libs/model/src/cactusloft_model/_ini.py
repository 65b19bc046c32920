"""Typed and bounded reading of INI files.

The reader does not stop at the first fault. It collects each one with its
section and key, so that a person can correct all of them at once.
"""

import configparser
import re

import attrs

_NAME_PATTERN = re.compile(r'[a-z0-9][a-z0-9_.-]{0,62}')
_BOOLEANS = {'yes': True, 'no': False}


@attrs.frozen
class Fault:
    """One fault in an INI file.

    :ivar section: section name, empty for the file as a whole.
    :ivar key: key name, empty for the section as a whole.
    :ivar message: what is wrong, and what is allowed.
    """

    section: str
    key: str
    message: str

    def __str__(self):
        location = f'[{self.section}]' if self.section else 'file'
        if self.key:
            location += f' {self.key}'
        return f'{location}: {self.message}'


def parse_ini(text, faults):
    """Return a parser with the sections of ``text``, none if malformed.

    :param faults: list to which each :class:`Fault` is appended.
    """
    parser = configparser.ConfigParser(
        interpolation=None, strict=True, default_section='\0'
    )
    try:
        parser.read_string(text)
    except configparser.DuplicateSectionError as error:
        faults.append(Fault(error.section, '', 'duplicate section'))
    except configparser.DuplicateOptionError as error:
        faults.append(Fault(error.section, error.option, 'duplicate key'))
    except configparser.Error as error:
        message = str(error).replace('\n', ' ')
        faults.append(Fault('', '', f'not valid INI: {message}'))
    else:
        return parser
    return configparser.ConfigParser()


class SectionReader:
    """Read the keys of one section and collect its faults.

    :param name: section name that faults refer to.
    :param values: mapping or pairs of key and text.
    :param faults: list to which each :class:`Fault` is appended.
    """

    def __init__(self, name, values, faults):
        self._name = name
        self._values = dict(values)
        self._faults = faults
        self._requested_keys = set()

    def add_fault(self, key, message):
        """Add a fault at ``key``, empty for the section as a whole."""
        self._faults.append(Fault(self._name, key, message))

    def list_keys(self):
        """Return the names of all keys of the section."""
        return tuple(self._values)

    def read_text(self, key, default=None):
        """Return the text of ``key``, which is required without a default."""
        self._requested_keys.add(key)
        text = self._values.get(key, '').strip()
        if text:
            return text
        if default is None:
            self.add_fault(key, 'required')
            return ''
        return default

    def read_number(self, key, default=None, low=0.0, high=1e9):
        """Return a number between ``low`` and ``high`` inclusive."""
        return self._read_bounded(key, default, low, high, float, 'number')

    def read_integer(self, key, default=None, low=0, high=2**31):
        """Return an integer between ``low`` and ``high`` inclusive."""
        return self._read_bounded(key, default, low, high, int, 'whole number')

    def _read_bounded(self, key, default, low, high, convert, noun):
        fallback = low if default is None else default
        text = self.read_text(key, None if default is None else str(default))
        if not text:
            return fallback
        try:
            value = convert(text)
        except ValueError:
            self.add_fault(key, f'{text!r} is not a {noun}')
            return fallback
        # NaN fails this comparison, so it is reported as well.
        if not low <= value <= high:
            self.add_fault(key, f'{text} is not between {low} and {high}')
            return fallback
        return value

    def read_choice(self, key, choices, default=None):
        """Return one of the texts in ``choices``."""
        text = self.read_text(key, default)
        if text and text not in choices:
            allowed = ', '.join(choices)
            self.add_fault(key, f'{text!r} is not one of {allowed}')
            return next(iter(choices))
        return text

    def read_boolean(self, key, default=None):
        """Return True for ``yes`` and False for ``no``."""
        return _BOOLEANS.get(self.read_choice(key, _BOOLEANS, default), False)

    def read_lines(self, key):
        """Return the non-empty lines of a multi-line text."""
        lines = self.read_text(key, '').splitlines()
        return tuple(line.strip() for line in lines if line.strip())

    def read_name(self, key, default=None):
        """Return a text, with a fault unless it is a valid name."""
        text = self.read_text(key, default)
        if text:
            self.check_name(key, text)
        return text

    def check_name(self, key, text):
        """Add a fault unless ``text`` is a valid name."""
        if not _NAME_PATTERN.fullmatch(text):
            self.add_fault(
                key,
                f'{text!r} is not a name: use lower case letters, digits, '
                '"_", "." and "-", at most 63 characters',
            )

    def report_unknown_keys(self):
        """Add a fault for each key that no read method was called for."""
        for key in self._values:
            if key not in self._requested_keys:
                self.add_fault(key, 'unknown key')
