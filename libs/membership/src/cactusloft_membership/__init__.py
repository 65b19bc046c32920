"""Announcements, leases, subsets and choice of backend server.

Submodules: :mod:`announcements` (the backend server beside a daemon),
:mod:`registry` (registrations at a control host), :mod:`exchange` (between
control hosts) and :mod:`choice` (view, subset and choice of the daemon that
sends a call). Time is passed in as
monotonic seconds.
"""
