"""What a daemon tells the fleet about itself and its backend server."""

import attrs


@attrs.frozen
class Registration:
    """A daemon with the backend server beside it, if there is one.

    :ivar name: name of the daemon.
    :ivar incarnation: wall clock milliseconds at the start of the daemon.
    :ivar sequence: grows with every registration of an incarnation.
    :ivar host: name of the machine.
    :ivar peers: endpoint of the peer listener, ``IP:port``.
    :ivar admin: endpoint of the admin listener, ``IP:port``.
    :ivar public_key: CURVE public key of the daemon in Z85.
    :ivar service: service of the backend server, empty without one.
    :ivar instance: identity of the backend server's process.
    :ivar slots: calls that the backend server can run at once.
    :ivar is_serving: whether it takes new work.
    """

    name: str
    incarnation: int
    sequence: int
    host: str
    data_centre: str
    peers: str
    admin: str
    public_key: str
    service: str = ''
    instance: str = ''
    slots: int = 0
    is_serving: bool = False

    @property
    def position(self):
        """Return the place in the order of this daemon's registrations."""
        return self.incarnation, self.sequence

    def is_same_member(self, other):
        """Tell whether only the sequence differs from ``other``."""
        return attrs.evolve(self, sequence=other.sequence) == other
