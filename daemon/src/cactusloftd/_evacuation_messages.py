"""Operators' requests about the evacuation of data centres."""

import attrs


@attrs.frozen
class EvacuationRequest:
    """Begin or end the evacuation of a data centre.

    :ivar is_begun: whether the data centre is evacuated from then on.
    :ivar is_forwarded: whether another control host has forwarded it.
    """

    data_centre: str
    is_begun: bool
    is_forwarded: bool


@attrs.frozen
class EvacuationsRequest:
    """Ask for the evacuated data centres."""

    is_forwarded: bool
