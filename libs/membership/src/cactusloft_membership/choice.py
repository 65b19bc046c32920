"""Members of a service: view, subset and choice for a call."""

from cactusloft_membership._choice import ChoicePolicy
from cactusloft_membership._choice import Chooser
from cactusloft_membership._choice import compute_slow_start_share
from cactusloft_membership._subset import choose_subset
from cactusloft_membership._subset import SUBSET_SIZE
from cactusloft_membership._view import MembershipView

__all__ = [
    'ChoicePolicy',
    'Chooser',
    'MembershipView',
    'SUBSET_SIZE',
    'choose_subset',
    'compute_slow_start_share',
]
