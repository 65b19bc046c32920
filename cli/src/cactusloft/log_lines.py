"""Merging and filtering of collected log lines of residents."""

from cactusloft._log_lines import LineFilter
from cactusloft._log_lines import LogLine
from cactusloft._log_lines import merge_lines
from cactusloft._log_lines import read_lines

__all__ = ['LineFilter', 'LogLine', 'merge_lines', 'read_lines']
