"""Tests of the monitor of a connection."""

import asyncio
import weakref

import zmq

from cactusloft_link import _monitor


class RecordingSocket(zmq.Socket):
    """A socket that records whether its events can still be received.

    :ivar had_receiver: whether the receiver was open when the monitor was
        stopped; None before.
    """

    receiver = None
    had_receiver = None

    def get_monitor_socket(self, events=None, addr=None):
        """Return the receiver of the events."""
        receiver = super().get_monitor_socket(events, addr)
        self.receiver = weakref.ref(receiver)
        return receiver

    def monitor(self, address, events=zmq.EVENT_ALL):
        """Start the monitor, or stop it if the address is None."""
        if address is None and self.had_receiver is None:
            receiver = self.receiver()
            self.had_receiver = receiver is not None and not receiver.closed
        return super().monitor(address, events)


def test_connection_lost_while_a_monitor_closes_does_not_hang():
    """The monitor stops before its receiver closes.

    Otherwise, an event of a peer that disconnects at that moment has no
    receiver, and the I/O thread waits for one while it holds the lock that
    stopping the monitor needs.
    """

    async def run():
        context = zmq.Context()
        socket = RecordingSocket(context, zmq.DEALER)
        monitor = _monitor.Monitor(socket, lambda: None, lambda: None)
        receiver = socket.receiver
        monitor.close()
        is_receiver_open = receiver() is not None and not receiver().closed
        had_receiver = socket.had_receiver
        socket.close(linger=0)
        context.destroy(linger=0)
        return had_receiver, is_receiver_open

    assert asyncio.run(run()) == (True, False)
