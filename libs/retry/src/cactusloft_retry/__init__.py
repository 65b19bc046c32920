"""Retry allowances, retry budgets and quarantine.

Submodules: :mod:`allowances` (retry credits of root calls, repeated nested
requests), :mod:`budgets` (retry budgets of a service, rule for a resend) and
:mod:`marks` (crash marks and quarantine).
"""
