"""Whether a call waits at an owner, is refused there, or has no time left."""

from cactusloft_admission._waiting import Choice
from cactusloft_admission._waiting import compute_max_wait
from cactusloft_admission._waiting import decide
from cactusloft_admission._waiting import Outlook
from cactusloft_admission._waiting import Wait

__all__ = ['Choice', 'Outlook', 'Wait', 'compute_max_wait', 'decide']
