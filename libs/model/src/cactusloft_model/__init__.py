"""Classes shared by all parts of cactusloft.

Submodules: :mod:`errors` (error kinds and the table of answers),
:mod:`document` (the operators' document), :mod:`calls` (call context),
:mod:`keys` (caller keys), :mod:`events` (numbered log events) and
:mod:`clock` (hybrid logical clock).
"""
