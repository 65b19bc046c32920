"""Tests of a daemon's lookups of members at control hosts."""

import asyncio
import random

import attrs
import msgspec
from returns import result

import cactusloft_link as link
from cactusloft_membership import choice
from cactusloft_membership import registry
from cactusloftd import _control_hosts
from cactusloftd import _members
from cactusloftd import _messages

REGISTRATION = registry.Registration(
    'd1', 1, 1, 'h1', 'dc1', '127.0.0.1:1', '127.0.0.1:2', 'k' * 40
)


class NewLink:
    """A link that accepts requests only after ``wait_until_up``."""

    is_up = False

    async def wait_until_up(self, timeout_s):
        self.is_up = True
        return True

    async def request(self, message, timeout_s):
        if not self.is_up:
            lost = link.LinkError(link.LinkFailure.LOST)
            return result.Failure(lost)
        return result.Success(_messages.Registrations((REGISTRATION,)))


class Node:
    """A node whose links are all new."""

    def connect(self, address):
        return NewLink()


def make_members(view=None):
    """Return a :class:`_members.Members` with one control host."""
    host = _control_hosts.ControlHost('c1', 'dc1', None)
    return _members.Members(Node(), [host], None, view or _View(), lambda: 0.0)


class _View:
    def list_members(self):
        return []


def test_first_list_waits_for_the_link():
    """Without the wait, the first list after a start was empty."""
    assert asyncio.run(make_members().list_fleet()) == [REGISTRATION]


def test_first_lookup_waits_for_the_link():
    """Without the wait, the daemon of a first retry credit was not found.

    The credit was denied, and the call was not retried.
    """
    assert asyncio.run(make_members().resolve('d1')) == REGISTRATION


def make_table(*members, is_settled):
    """Return a table of the members of the service ``stock``."""
    table = _messages.MembersTable(1, ('stock',), members, is_settled)
    return msgspec.msgpack.encode(table)


def test_first_call_fails_for_a_table_that_is_not_complete():
    """It was refused although the only member registered moments later."""
    member = attrs.evolve(REGISTRATION, service='stock', is_serving=True)

    async def call():
        members = make_members(
            choice.MembershipView('d0', 'dc1', random.Random(1))
        )
        members.on_report_due = lambda: members.apply_table(
            make_table(is_settled=False)
        )
        prepared = asyncio.create_task(members.prepare('stock'))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert not prepared.done()
        members.apply_table(make_table(member, is_settled=False))
        await prepared
        return members.choose('stock', set())

    assert asyncio.run(call()) == member


def test_first_call_waits_although_the_table_is_complete():
    """A service without members must be refused at once."""

    async def call():
        members = make_members(
            choice.MembershipView('d0', 'dc1', random.Random(1))
        )
        members.on_report_due = lambda: members.apply_table(
            make_table(is_settled=True)
        )
        prepared = asyncio.create_task(members.prepare('stock'))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return prepared.done()

    assert asyncio.run(call())


def test_member_in_an_evacuated_data_centre_is_chosen():
    """An order is in force for calls that follow, not for later tables."""
    near = attrs.evolve(REGISTRATION, service='stock', is_serving=True)
    far = attrs.evolve(near, name='d2', data_centre='dc2')
    members = make_members(
        choice.MembershipView('d0', 'dc1', random.Random(1))
    )
    members.on_report_due = lambda: None
    asyncio.run(members.prepare('stock'))
    members.apply_table(make_table(near, far, is_settled=True))
    members.find_evacuated = lambda: ('dc1',)
    assert members.choose('stock', set()) == far
    assert members.choose('stock', {'d2'}) is None
    members.find_evacuated = lambda: ('dc1', 'dc2')
    assert members.choose('stock', set()) is None
