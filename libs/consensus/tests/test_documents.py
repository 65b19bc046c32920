"""Tests of the document store."""

from cactusloft_consensus import _documents
from cactusloft_consensus import documents


def _apply(store, base_version, change_id, text='text'):
    change = documents.Change.pack(base_version, change_id, 7, text)
    return store.apply(change.encode())


def test_resend_gets_first_outcome_after_restore():
    """A resend after a restart must not apply the change again."""
    store = documents.DocumentStore()
    first = _apply(store, 0, 'a')
    _apply(store, 1, 'b', 'newer')
    conflict = _apply(store, 1, 'c')
    restored = documents.DocumentStore()
    restored.restore(store.save())
    assert _apply(restored, 0, 'a') == first
    assert _apply(restored, 1, 'c') == conflict
    assert (restored.version, restored.text) == (2, 'newer')
    assert restored.list_revisions() == store.list_revisions()


def test_change_id_of_other_text_is_refused():
    """A change id that is reused for another text must be refused.

    The operator would otherwise get the outcome of the other change.
    """
    store = documents.DocumentStore()
    _apply(store, 0, 'a', 'text')
    outcome = _apply(store, 1, 'a', 'other')
    assert outcome.kind is documents.OutcomeKind.CHANGE_ID_REUSED
    assert store.text == 'text'


def test_accepted_change_is_refused_after_many_conflicts():
    """A change that is in force must be acknowledged whenever it is resent."""
    store = documents.DocumentStore()
    accepted = _apply(store, 0, 'a')
    for number in range(_documents.MAX_KEPT_OUTCOMES):
        _apply(store, 0, f'late-{number}')
    assert _apply(store, 0, 'a') == accepted
    reused = _apply(store, 1, 'a', 'other')
    assert reused.kind is documents.OutcomeKind.CHANGE_ID_REUSED
    assert (store.version, store.text) == (1, 'text')


def test_refused_change_comes_in_force_once_its_base_is():
    """A copy that was under way must not undo the refusal of the operator."""
    store = documents.DocumentStore()
    refused = _apply(store, 1, 'ahead')
    assert refused.kind is documents.OutcomeKind.CONFLICT
    _apply(store, 0, 'base')
    assert _apply(store, 1, 'ahead') == refused
    assert store.change_id == 'base'


def test_identical_changes_of_two_operators():
    """Both get the same acknowledgement, and one version is made."""
    store = documents.DocumentStore()
    assert _apply(store, 0, 'same') == _apply(store, 0, 'same')
    _apply(store, 1, 'next', 'newer')
    assert _apply(store, 0, 'same').kind is documents.OutcomeKind.ACCEPTED
    assert (store.version, store.text) == (2, 'newer')


def test_memory_is_bounded():
    """The number of kept change ids, revisions and texts is bounded."""
    store = documents.DocumentStore()
    for number in range(_documents.MAX_KEPT_OUTCOMES + 5):
        _apply(store, number, f'change-{number}', f'text {number}')
    last = store.version
    assert len(store.list_revisions()) == _documents.MAX_KEPT_REVISIONS
    assert store.find_text(last - _documents.MAX_KEPT_TEXTS) is None
    assert store.find_text(last - 1) == f'text {last - 2}'
    # An evicted change id is refused because of its old base version.
    assert _apply(store, 0, 'change-0').kind is documents.OutcomeKind.CONFLICT
