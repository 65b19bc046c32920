"""Tests of the error table."""

from cactusloft_model import errors


def test_every_kind_has_an_answer():
    """A kind without an answer would fail while a refusal is written."""
    assert set(errors.ERROR_RESPONSES) == set(errors.ErrorKind)


def test_server_side_failures_never_claim_not_run():
    """A failure after delivery must not invite a blind repeat."""
    for kind in (
        errors.ErrorKind.BACKEND_SERVER_FAILED,
        errors.ErrorKind.OUTCOME_UNKNOWN,
        errors.ErrorKind.DEADLINE_EXCEEDED,
    ):
        assert errors.ERROR_RESPONSES[kind].not_run is errors.NotRun.UNKNOWN
