"""Operators' orders for evacuations, checked and sent to the leader."""

import asyncio

from cactusloft_model import errors
from cactusloftd import _control
from cactusloftd import _evacuation_messages

# An order is not carried out later than this: one that is delayed could undo
# its successor, since orders have no versions.
ORDER_TIMEOUT_S = 2.0


async def execute_order(operators, known, data_centre, is_begun):
    """Begin or end the evacuation of a data centre.

    :param operators: :class:`_operators.Operators`.
    :param known: names of the data centres of the fleet, empty if unknown.
    :returns: :class:`_messages.ControlReply`.
    """
    if known and data_centre not in known:
        error = errors.CallError(
            errors.ErrorKind.BAD_REQUEST, 'unknown data centre'
        )
        return _control.refuse(error)
    request = _evacuation_messages.EvacuationRequest(
        data_centre, is_begun, False
    )
    try:
        async with asyncio.timeout(ORDER_TIMEOUT_S):
            return await operators.execute(request, ORDER_TIMEOUT_S)
    except TimeoutError:
        return _control.refuse_unavailable('no control leader in time')
