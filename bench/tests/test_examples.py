"""Tests of the example documents against section 1.3 of the design."""

import pathlib

import pytest

from cactusloft_model import calls
from cactusloft_model import document

EXAMPLES_FOLDER = pathlib.Path(__file__).parents[2] / 'examples'
# Workers, slots and connections of each service; names of critical routes,
# which are shed last.
DEPLOYMENTS = {
    'siam-slurry-haul': (
        {
            'availability': (4, 50, 400),
            'booking': (4, 50, 400),
            'maps': (4, 50, 400),
            'permits': (4, 15, 200),
        },
        {'confirm-booking'},
    ),
    'hooghly-breeze': (
        {
            'stock': (4, 110, 800),
            'orders': (4, 110, 800),
            'catalogues': (4, 110, 800),
            'tracking': (4, 25, 250),
        },
        {'place-order'},
    ),
}


@pytest.mark.parametrize('name', DEPLOYMENTS)
def test_example_describes_its_deployment(name):
    """Operators copy the examples, so an error would reach production."""
    services, critical_routes = DEPLOYMENTS[name]
    text = (EXAMPLES_FOLDER / f'{name}.ini').read_text()
    parsed = document.parse_document(text).unwrap()
    assert set(parsed.services) == set(services)
    assert len(parsed.accounts) == 8
    rates = sorted(account.rate for account in parsed.accounts.values())
    assert sum(rates[-2:]) > sum(rates[:-2])
    critical = {
        route.name
        for route in parsed.routes.values()
        if route.priority is calls.Priority.CRITICAL
    }
    assert critical == critical_routes
    for service, (workers, slots, connections) in services.items():
        size = f'# {workers} workers of {slots} slots and {connections} '
        assert f'{size}connections.\n[service {service}]' in text


@pytest.mark.parametrize('name', DEPLOYMENTS)
def test_writes_that_create_need_an_idempotency_key(name):
    """A booking or purchase order that is sent twice must not run twice."""
    text = (EXAMPLES_FOLDER / f'{name}.ini').read_text()
    parsed = document.parse_document(text).unwrap()
    for route in parsed.routes.values():
        if route.priority is calls.Priority.CRITICAL:
            assert not route.idempotent
            assert route.needs_idempotency_key
