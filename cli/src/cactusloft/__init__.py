"""The cactusloft command-line tool.

:mod:`client` sends requests to the operator listeners of daemons,
:mod:`timeline` merges their events, :mod:`log_lines` merges collected log
files, and :mod:`ui` is the command line that uses them.
"""
