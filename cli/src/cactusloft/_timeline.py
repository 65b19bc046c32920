"""Merging and filtering of the events of several daemons."""

import attrs

from cactusloft_model import events

_CALL_FIELDS = ('call_id', 'root_call_id', 'parent_call_id')


@attrs.frozen
class EventFilter:
    """Conditions on events; an empty one matches every event.

    :ivar call: id of a call; nested calls match the ids of their root call and
        their parent call too.
    :ivar account: client account.
    :ivar change: change id; installations of the version that the change
        created match too.
    """

    call: str = ''
    account: str = ''
    change: str = ''


def merge_events(histories, event_filter):
    """Return the matching events of all daemons in causal order.

    :param histories: iterable of :class:`EventView` sequences.
    :param event_filter: :class:`EventFilter`.
    """
    merged = sorted(
        (event for history in histories for event in history),
        key=lambda event: (event.stamp, event.daemon),
    )
    versions = {
        event.fields.get('version')
        for event in merged
        if event.event == events.Event.DOCUMENT_APPLIED
        and event.fields.get('change_id') == event_filter.change
    }
    return [e for e in merged if _matches(e, event_filter, versions)]


def _matches(event, event_filter, changed_versions):
    fields = event.fields
    if event_filter.call:
        ids = (fields.get(name) for name in _CALL_FIELDS)
        if event_filter.call not in ids:
            return False
    account = event_filter.account
    if account and fields.get('client_account') != account:
        return False
    change = event_filter.change
    if not change or fields.get('change_id') == change:
        return True
    is_installation = event.event == events.Event.DOCUMENT_INSTALLED
    return is_installation and fields.get('version') in changed_versions
