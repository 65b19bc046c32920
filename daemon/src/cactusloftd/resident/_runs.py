"""One run of a call on the backend server beside a resident."""

import attrs

from cactusloft_admission import controller
from cactusloftd import _calls
from cactusloftd import _gate
from cactusloftd.resident import _delivery


@attrs.define(eq=False)
class Run:
    """What becomes of one run.

    :ivar is_released: whether its slot is free again.
    :ivar is_failed_below: whether a nested call of it failed.
    """

    call: _calls.Call
    gate: _gate.AdmissionGate
    ticket: controller.Ticket
    delivery: _delivery.Delivery
    outcome: controller.Outcome = controller.Outcome.ABANDONED
    is_released: bool = False
    is_failed_below: bool = False
