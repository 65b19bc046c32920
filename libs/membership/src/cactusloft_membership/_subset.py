"""The few members of a service that one daemon uses.

Rendezvous hashing ranks the members differently for each daemon, so load
spreads over all of them, and a member that joins or leaves changes one place
of a subset at most.
"""

import hashlib

SUBSET_SIZE = 12


def compute_weight(daemon, member_name):
    """Return the rendezvous weight of a member for ``daemon``."""
    digest = hashlib.blake2b(digest_size=8)
    digest.update(daemon.encode() + b'\0' + member_name.encode())
    return int.from_bytes(digest.digest(), 'big')


def choose_subset(daemon, data_centre, members, size=SUBSET_SIZE):
    """Return the subset of ``members`` for a daemon.

    :param daemon: name of the daemon that sends the calls.
    :param data_centre: its data centre; members there come first.
    :param members: iterable of :class:`Registration`.
    :param size: largest number of members in the subset.
    """
    ranked = sorted(
        members,
        key=lambda member: (
            member.data_centre != data_centre,
            -compute_weight(daemon, member.name),
        ),
    )
    return tuple(ranked[:size])
