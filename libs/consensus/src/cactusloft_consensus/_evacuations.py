"""Replicated set of evacuated data centres.

Operators begin and end the evacuation of a data centre. These orders are
entries of the same log as the changes of the document, so that they are
ordered against them and against each other. The set is kept beside the text
of the document, which stays exactly as its operator sent it.
"""

import attrs
import msgspec

# First byte of an encoded order. MessagePack never uses it, so that an order
# cannot be mistaken for a change of the document.
ORDER_MARK = b'\xc1'


@attrs.frozen
class EvacuationOrder:
    """An operator's order to begin or to end an evacuation.

    :ivar is_begun: whether the data centre is evacuated from then on.
    """

    data_centre: str
    is_begun: bool

    @classmethod
    def decode(cls, data):
        """Decode an order from the data of a log entry."""
        return msgspec.msgpack.decode(data[len(ORDER_MARK) :], type=cls)

    def encode(self):
        """Encode the order as the data of a log entry."""
        return ORDER_MARK + msgspec.msgpack.encode(self)


@attrs.frozen
class Evacuations:
    """The evacuated data centres.

    :ivar revision: number of orders so far that changed the set.
    :ivar data_centres: names in alphabetical order.
    """

    revision: int = 0
    data_centres: tuple[str, ...] = ()

    def apply(self, order):
        """Return the evacuations after an :class:`EvacuationOrder`.

        An order that is already in force, such as a resent one, changes
        nothing.

        >>> order = EvacuationOrder('north', True)
        >>> once = Evacuations().apply(order)
        >>> once, once.apply(order) is once
        (Evacuations(revision=1, data_centres=('north',)), True)
        """
        names = set(self.data_centres)
        if (order.data_centre in names) is order.is_begun:
            return self
        names ^= {order.data_centre}
        return Evacuations(self.revision + 1, tuple(sorted(names)))


NO_EVACUATIONS = Evacuations()


def is_order(data):
    """Tell whether the data of a log entry is an :class:`EvacuationOrder`."""
    return data.startswith(ORDER_MARK)
