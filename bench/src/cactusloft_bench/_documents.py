"""Rendering of configuration documents for fleets."""

import os

import attrs

from cactusloft_model import keys


@attrs.frozen
class Account:
    """A client account of a document, with its key in plain text.

    :ivar rate: rate limit in requests per second.
    :ivar burst: requests that may arrive at once.
    """

    name: str
    rate: float = 10_000.0
    burst: float = 10_000.0
    weight: float = 1.0
    key: str = attrs.field(factory=lambda: keys.make_key(os.urandom))


@attrs.frozen
class Route:
    """A route of a document; see :class:`cactusloft_model.document.Route`."""

    name: str
    service: str
    path: str
    method: str = 'POST'
    idempotent: bool = True
    priority: str = 'normal'
    is_open: bool = False
    deadline_ms: int = 10_000
    retries: int = 1
    max_body_bytes: int = 1024 * 1024


def render_document(accounts, routes):
    """Return the text of a document.

    The document declares every service that a route names.

    :param accounts: iterable of :class:`Account`.
    :param routes: iterable of :class:`Route`.
    :param routes: iterable of :class:`Route`.
    """
    sections = [_render_account(account) for account in accounts]
    services = sorted({route.service for route in routes})
    sections += [f'[service {service}]\n' for service in services]
    sections += [_render_route(route) for route in routes]
    return '\n'.join(sections)


def _render_account(account):
    return (
        f'[client_account {account.name}]\n'
        f'rate = {account.rate}\n'
        f'burst = {account.burst}\n'
        f'weight = {account.weight}\n'
        f'key_hashes = {keys.hash_key(account.key)}\n'
    )


def _render_route(route):
    return (
        f'[route {route.name}]\n'
        f'service = {route.service}\n'
        f'method = {route.method}\n'
        f'path = {route.path}\n'
        f'idempotent = {"yes" if route.idempotent else "no"}\n'
        f'access = {"open" if route.is_open else "keyed"}\n'
        f'priority = {route.priority}\n'
        f'deadline_ms = {route.deadline_ms}\n'
        f'retries = {route.retries}\n'
        f'max_body_bytes = {route.max_body_bytes}\n'
    )
