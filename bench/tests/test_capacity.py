"""Tests for the capacity page and the data file behind it."""

import pathlib

from cactusloft_bench.capacity import _page
from cactusloft_bench.capacity import _results

DOCS = pathlib.Path(__file__).parents[2] / 'docs'


def test_page_matches_the_measured_data():
    """Guard against figures on the page that no run produced.

    Such figures would mislead capacity planning.
    """
    results = _results.read_results(DOCS / 'capacity.json')
    page = (DOCS / 'CAPACITY.md').read_text()
    for name, table in results.render_tables().items():
        assert _page.read_table(page, name) == table


def test_slopes_are_fitted_to_at_least_three_sizes():
    """Guard against fits to two sizes, whose residual is always zero."""
    results = _results.read_results(DOCS / 'capacity.json')
    assert all(len(set(slope.sizes)) >= 3 for slope in results.slopes)
