"""Classes shared by all parts of cactusloft.

Submodules: :mod:`errors` (error kinds and their HTTP responses),
:mod:`document` (the operators' configuration document), :mod:`calls` (call
context), :mod:`keys` (API keys of client accounts), :mod:`events` (numbered
log events), :mod:`clock` (hybrid logical clock and boot time) and :mod:`ini`
(INI files).
"""
