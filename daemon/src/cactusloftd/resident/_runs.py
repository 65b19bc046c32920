"""One run of a call on the local backend server."""

import attrs

from cactusloft_admission import controller
from cactusloftd import _calls
from cactusloftd import _gate
from cactusloftd.resident import _delivery


@attrs.define(eq=False)
class Run:
    """State of one run.

    :ivar outcome: reported to admission control when the slot is released.
    :ivar is_released: whether its slot was released.
    :ivar has_failed_nested_call: whether one of its nested calls failed.
    """

    call: _calls.Call
    gate: _gate.AdmissionGate
    ticket: controller.Ticket
    delivery: _delivery.Delivery
    outcome: controller.Outcome = controller.Outcome.ABANDONED
    is_released: bool = False
    has_failed_nested_call: bool = False
