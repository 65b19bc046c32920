"""The cactusloft command-line tool.

:mod:`client` talks to the operator listeners of daemons, :mod:`timeline`
merges their events, and :mod:`ui` is the command line above both.
"""
