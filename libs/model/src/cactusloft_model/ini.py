"""Reading of INI files with every fault collected."""

from cactusloft_model._ini import Fault
from cactusloft_model._ini import parse_ini
from cactusloft_model._ini import SectionReader

__all__ = ['Fault', 'SectionReader', 'parse_ini']
