"""One run of a call on the local backend server."""

import attrs

from cactusloft_admission import controller
from cactusloftd import _calls
from cactusloftd import _gate
from cactusloftd.resident import _backlog
from cactusloftd.resident import _delivery


@attrs.define(eq=False)
class Run:
    """State of one run.

    :ivar backlog: backlog of its backend server process.
    :ivar cost_s: slot-seconds that it is expected to cost.
    :ivar slowness: slowness of the backend server at its start.
    :ivar outcome: reported to admission control when the slot is released.
    :ivar is_released: whether its slot was released.
    :ivar has_failed_nested_call: whether one of its nested calls failed.
    """

    call: _calls.Call
    gate: _gate.AdmissionGate
    ticket: controller.Ticket
    delivery: _delivery.Delivery
    backlog: _backlog.Backlog
    cost_s: float
    slowness: float
    outcome: controller.Outcome = controller.Outcome.ABANDONED
    is_released: bool = False
    has_failed_nested_call: bool = False
