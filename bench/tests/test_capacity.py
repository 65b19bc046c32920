"""Tests of the capacity page."""

import pathlib

from cactusloft_bench.capacity import _page
from cactusloft_bench.capacity import _results

DOCS = pathlib.Path(__file__).parents[2] / 'docs'


def test_page_matches_the_measured_data():
    """A figure that no run produced would mislead the planning."""
    results = _results.read_results(DOCS / 'capacity.json')
    page = (DOCS / 'CAPACITY.md').read_text()
    for name, table in results.render_tables().items():
        assert _page.read_table(page, name) == table


def test_slopes_come_from_three_sizes():
    """A line through two points always fits."""
    results = _results.read_results(DOCS / 'capacity.json')
    assert all(len(set(slope.sizes)) >= 3 for slope in results.slopes)
