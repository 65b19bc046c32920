"""Subset of a service's members that one daemon sends calls to.

Rendezvous hashing ranks the members differently for each daemon, which spreads
the load over all of them. A member that joins or leaves replaces at most one
member of each subset.
"""

import hashlib

# Maximum number of members that one daemon uses of a service.
SUBSET_SIZE = 12


def compute_weight(daemon, member_name):
    """Return the weight of a member in the ranking for ``daemon``."""
    digest = hashlib.blake2b(digest_size=8)
    digest.update(daemon.encode() + b'\0' + member_name.encode())
    return int.from_bytes(digest.digest(), 'big')


def choose_subset(daemon, data_centre, members, size=SUBSET_SIZE):
    """Return the subset of ``members`` that a daemon uses.

    :param daemon: name of the daemon that sends the calls.
    :param data_centre: data centre of the daemon; its members rank first.
    :param members: iterable of :class:`Registration`.
    :param size: maximum number of members in the subset.
    """
    ranked = sorted(
        members,
        key=lambda member: (
            member.data_centre != data_centre,
            -compute_weight(daemon, member.name),
        ),
    )
    return tuple(ranked[:size])
