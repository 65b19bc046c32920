"""INI parsing that collects every fault instead of stopping at one."""

from cactusloft_model._ini import Fault
from cactusloft_model._ini import parse_ini
from cactusloft_model._ini import SectionReader

__all__ = ['Fault', 'SectionReader', 'parse_ini']
