"""Keeps the folder ``platform/`` from standing in for the standard module.

pytest makes packages of the folders above a test; the standard module has to
be there first.
"""

import platform  # noqa: F401
