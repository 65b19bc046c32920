"""Retry allowance, retry budget and quarantine.

Submodules: :mod:`allowances` (retry credits of root calls, repeated nested
requests), :mod:`budgets` (retry budget of a service, rules for a resend) and
:mod:`marks` (crash marks and quarantine).
"""
