"""Announcements and leases of backend servers, subsets, choice of members.

Submodules: :mod:`announcements` (the backend server beside a daemon),
:mod:`registry` (registrations at a control host), :mod:`exchange` (updates
between control hosts) and :mod:`choice` (view, subset and choice of a daemon
that sends calls). The caller passes the time in as monotonic seconds.
"""
