"""Retry budgets of a service, and the rule for a resend."""

from cactusloft_retry._budget import may_resend
from cactusloft_retry._budget import RequestBudget
from cactusloft_retry._budget import RetryBudget

__all__ = ['RequestBudget', 'RetryBudget', 'may_resend']
