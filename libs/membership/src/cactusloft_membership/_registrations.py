"""Registration of a daemon and its backend server."""

import attrs

from cactusloft_membership import _departures


@attrs.frozen
class Registration:
    """A daemon and the backend server beside it, if there is one.

    :ivar name: name of the daemon.
    :ivar incarnation: wall-clock milliseconds at the start of the daemon.
    :ivar sequence: number that increases with each registration of an
        incarnation.
    :ivar host: name of the machine.
    :ivar data_centre: data centre of the machine.
    :ivar peers: endpoint of the peer listener, ``IP:port``.
    :ivar admin: endpoint of the admin listener, ``IP:port``.
    :ivar public_key: CURVE public key of the daemon in Z85.
    :ivar service: service of the backend server, empty if there is none.
    :ivar instance: identity of the backend server's process; differs after a
        restart.
    :ivar slots: number of calls that the backend server can run
        concurrently.
    :ivar is_serving: whether the backend server accepts new work.
    :ivar born_ms: wall clock time in milliseconds at which the backend
        server's process started, 0 if unknown.
    :ivar is_leaving: whether that process has announced its departure.
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
    born_ms: int = 0
    is_leaving: bool = False

    @property
    def position(self):
        """Return the sort key among the registrations of this daemon."""
        return self.incarnation, self.sequence

    @property
    def process(self):
        """Return the :class:`BackendProcess` of the backend server."""
        return _departures.BackendProcess(
            self.name, self.instance, self.born_ms
        )

    def mark_leaving(self):
        """Return the registration of a process that has left."""
        return attrs.evolve(self, is_serving=False, is_leaving=True)

    def is_same_member(self, other):
        """Return whether ``other`` differs in nothing but the sequence."""
        return attrs.evolve(self, sequence=other.sequence) == other
