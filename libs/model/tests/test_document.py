"""Tests of parsing, validating and patching the document."""

import pytest

from cactusloft_model import calls
from cactusloft_model import document
from cactusloft_model import keys

KEY = 'clk_test'
VALID = f"""
[client_account estates]
rate = 10
burst = 5
key_hashes =
    {keys.hash_key(KEY)}

[service booking]

[route book]
service = booking
method = POST
path = /bookings
idempotent = no
priority = critical

[route rest]
service = booking
method = ANY
path = /bookings/*
idempotent = yes
access = open
"""

FAULTY = [
    ('rate = 10', 'rate = ten', 'client_account estates', 'rate'),
    ('rate = 10', 'rate = nan', 'client_account estates', 'rate'),
    ('rate = 10', 'rate = 0', 'client_account estates', 'rate'),
    ('burst = 5', '', 'client_account estates', 'burst'),
    ('burst = 5', 'burst = 5\nspeed = 3', 'client_account estates', 'speed'),
    ('service = booking', 'service = other', 'route book', 'service'),
    ('idempotent = no', 'idempotent = maybe', 'route book', 'idempotent'),
    ('path = /bookings\n', 'path = bookings\n', 'route book', 'path'),
    ('path = /bookings\n', 'path = /a*b\n', 'route book', 'path'),
    ('[service booking]', '[service Booking]', 'service Booking', ''),
    ('[service booking]', '[servic booking]', 'servic booking', ''),
    ('sha256:', 'sha1:', 'client_account estates', 'key_hashes'),
]


def test_valid_document_is_indexed():
    """Valid requests are refused if their key or route is not found."""
    parsed = document.parse_document(VALID).unwrap()
    assert parsed.find_account(KEY).name == 'estates'
    assert parsed.find_account('clk_other') is None
    route = parsed.find_route('POST', '/bookings')
    assert route.priority is calls.Priority.CRITICAL
    assert parsed.find_route('GET', '/bookings/7').name == 'rest'
    assert parsed.find_route('GET', '/bookingsx') is None


@pytest.mark.parametrize('old,new,section,key', FAULTY)
def test_fault_names_section_and_key(old, new, section, key):
    """A faulty document must be refused with the place of the fault."""
    faults = document.parse_document(VALID.replace(old, new)).failure()
    assert (section, key) in {(f.section, f.key) for f in faults}


def test_all_faults_are_listed():
    """An operator must be able to correct all faults in one edit."""
    text = VALID.replace('rate = 10', 'rate = x').replace('= no', '= x')
    assert len(document.parse_document(text).failure()) == 2


def test_key_of_two_accounts_is_refused():
    """A key listed twice would charge one account for another's requests."""
    section = VALID.split('[service')[0].replace('estates', 'dealers')
    faults = document.parse_document(VALID + section).failure()
    assert faults[0].key == 'key_hashes'


@pytest.mark.parametrize('text', ['no section', '[a', '[a]\n[a]', '[a]\nb\n'])
def test_malformed_text_is_refused(text):
    """Text that is not valid INI must give a fault, not an exception."""
    assert document.parse_document(text).failure()


def test_most_specific_route_matches():
    """A general route must not match the requests of a specific one."""
    extra = VALID + (
        '[route deep]\nservice = booking\nmethod = GET\n'
        'path = /bookings/deep/*\nidempotent = yes\n'
        '[route exact]\nservice = booking\nmethod = ANY\n'
        'path = /bookings/deep/x\nidempotent = yes\n'
    )
    parsed = document.parse_document(extra).unwrap()
    names = {
        ('GET', '/bookings/deep/y'): 'deep',
        ('POST', '/bookings/deep/y'): 'rest',
        ('GET', '/bookings/deep/x'): 'exact',
        ('GET', '/bookings/deep'): 'rest',
        ('POST', '/bookings'): 'book',
    }
    for request, name in names.items():
        assert parsed.find_route(*request).name == name
        found = parsed.find_service_route('booking', *request)
        assert found.name == name
    assert parsed.find_service_route('other', 'GET', '/bookings/x') is None


def test_patched_document_equals_parsed_document():
    """A daemon that applies changes must not diverge from the document."""
    old = document.parse_document(VALID).unwrap()
    text = VALID.replace('rate = 10', 'rate = 20').replace(
        VALID[VALID.index('[route rest]') :], '[service new]\n'
    )
    new = document.parse_document(text).unwrap()
    changes = document.list_changes(old.sections, new.sections)
    patched = document.patch_document(old, changes).unwrap()
    assert len(changes.changed) == 2
    assert patched.sections == new.sections
    assert patched.accounts == new.accounts
    assert patched.services == new.services
    assert patched.routes == new.routes


def test_patch_that_breaks_a_reference_is_refused():
    """A route must not refer to a service that a patch removes."""
    old = document.parse_document(VALID).unwrap()
    changes = document.Changes((), ('service booking',))
    faults = document.patch_document(old, changes).failure()
    assert {fault.key for fault in faults} == {'service'}
