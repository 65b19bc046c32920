"""Merging and filtering of the events of several daemons."""

import attrs

from cactusloft_model import events

_CALL_FIELDS = ('call_id', 'root_call_id', 'parent_call_id')


@attrs.frozen
class Filter:
    """Which events to show; an empty text shows all.

    :ivar call: id of a call; nested calls of a root call belong to it.
    :ivar account: client account.
    :ivar change: change id; the installations of its version belong to it.
    """

    call: str = ''
    account: str = ''
    change: str = ''


def merge_events(histories, wanted):
    """Return the events of all daemons in causal order.

    :param histories: iterable of :class:`EventView` sequences.
    :param wanted: :class:`Filter`.
    """
    merged = sorted(
        (event for history in histories for event in history),
        key=lambda event: (event.stamp, event.daemon),
    )
    versions = {
        event.fields.get('version')
        for event in merged
        if event.event == events.Event.DOCUMENT_APPLIED
        and event.fields.get('change_id') == wanted.change
    }
    return [e for e in merged if _is_wanted(e, wanted, versions)]


def _is_wanted(event, wanted, versions):
    fields = event.fields
    if wanted.call:
        ids = (fields.get(name) for name in _CALL_FIELDS)
        if wanted.call not in ids:
            return False
    if wanted.account and fields.get('client_account') != wanted.account:
        return False
    if not wanted.change or fields.get('change_id') == wanted.change:
        return True
    is_installation = event.event == events.Event.DOCUMENT_INSTALLED
    return is_installation and fields.get('version') in versions
