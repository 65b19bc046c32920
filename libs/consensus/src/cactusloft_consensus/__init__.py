"""Replicated log with snapshots and membership changes.

Submodules: :mod:`messages` (messages, entries and records), :mod:`node` (the
protocol without I/O), :mod:`storage` (records in the data folder),
:mod:`documents` (the replicated document store) and :mod:`replica` (a node
with storage, timers and a transport).
"""
