"""Tests of the error kinds and their responses."""

from cactusloft_model import errors


def test_every_kind_has_a_response():
    """A kind without a response would raise KeyError when it is reported."""
    assert set(errors.ERROR_RESPONSES) == set(errors.ErrorKind)


def test_failures_after_delivery_do_not_report_not_run():
    """A caller must not take a request that may have run as safe to retry."""
    for kind in (
        errors.ErrorKind.BACKEND_SERVER_FAILED,
        errors.ErrorKind.OUTCOME_UNKNOWN,
        errors.ErrorKind.DEADLINE_EXCEEDED,
    ):
        assert errors.ERROR_RESPONSES[kind].not_run is errors.NotRun.UNKNOWN
