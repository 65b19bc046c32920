"""Retry budget of a service, and the rules for a resend."""

from cactusloft_retry._budget import may_resend
from cactusloft_retry._budget import RetryBudget

__all__ = ['RetryBudget', 'may_resend']
