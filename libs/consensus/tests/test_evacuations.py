"""Tests of the evacuations in the document store."""

import msgspec

from cactusloft_consensus import documents
from cactusloft_consensus import evacuations

TEXT = '{"version": 7}'


def _order(store, data_centre, is_begun):
    order = evacuations.EvacuationOrder(data_centre, is_begun)
    return store.apply(order.encode())


def _make_store():
    store = documents.DocumentStore()
    change = documents.Change.pack(0, 'a', 7, TEXT, version=7)
    store.apply(change.encode())
    return store


def test_evacuation_survives_a_snapshot():
    """A compacted log must not lose an acknowledged evacuation."""
    store = _make_store()
    _order(store, 'north', True)
    _order(store, 'south', True)
    restored = documents.DocumentStore()
    restored.restore(store.save())
    assert restored.evacuations == evacuations.Evacuations(
        2, ('north', 'south')
    )
    restored.restore(b'')
    assert restored.evacuations == evacuations.NO_EVACUATIONS


def test_evacuation_leaves_the_document_alone():
    """An operator reads back the text and version that were sent."""
    store = _make_store()
    _order(store, 'north', True)
    assert (store.version, store.text) == (7, TEXT)
    assert len(store.list_revisions()) == 1


def test_resent_order_changes_nothing():
    """A resent order must be acknowledged again, without a new revision."""
    store = _make_store()
    first = _order(store, 'north', True)
    assert _order(store, 'north', True) == first
    assert first.kind is documents.OutcomeKind.ACCEPTED
    ended = _order(store, 'north', False)
    assert _order(store, 'north', False) == ended
    assert store.evacuations == evacuations.Evacuations(2, ())


def test_snapshot_of_an_earlier_version_is_restored():
    """A control host that is upgraded must keep its document."""
    state = msgspec.msgpack.decode(_make_store().save())
    del state['evacuations']
    restored = documents.DocumentStore()
    restored.restore(msgspec.msgpack.encode(state))
    assert (restored.text, restored.evacuations.revision) == (TEXT, 0)
