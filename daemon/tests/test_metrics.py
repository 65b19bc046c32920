"""Tests of the metrics and of the pages that list metrics and events."""

import pathlib
import re

import pytest

from cactusloft_model import events
from cactusloftd import _metrics

DOCS = pathlib.Path(__file__).parents[2] / 'docs'


def read_rows(page):
    """Return the cells of the table rows of a page."""
    lines = (DOCS / page).read_text().splitlines()
    rows = [line.strip('|').split('|') for line in lines if line[:1] == '|']
    return [[cell.strip() for cell in row] for row in rows[2:]]


def test_metrics_page_matches_the_code():
    """The page must list exactly the exported metrics.

    Otherwise operators build alerts on metrics that do not exist.
    """
    expected = [
        [
            f'`{d.name}`',
            d.kind.value,
            ', '.join(f'`{label}`' for label in d.labels) or 'none',
            d.help,
        ]
        for d in _metrics.DEFINITIONS
    ]
    assert read_rows('metrics.md') == expected


def test_events_page_matches_the_code():
    """The page must list all events, each with a cause and a remedy."""
    rows = read_rows('events.md')
    assert all(cause and remedy for _, _, cause, remedy in rows)
    listed = [(int(number), name) for number, name, _, _ in rows]
    assert listed == [(int(e), f'`{e.name}`') for e in events.Event]


@pytest.mark.parametrize(
    'definition', _metrics.DEFINITIONS, ids=lambda d: d.name
)
def test_metric_is_scraped_under_its_name(definition):
    """The exporter must keep the name, or queries do not find the metric."""
    metrics = _metrics.Metrics()
    labels = ['x' for _ in definition.labels]
    if definition.kind is _metrics.Kind.COUNTER:
        metrics.count(definition.name, *labels)
    elif definition.kind is _metrics.Kind.GAUGE:
        metrics.observe(definition.name, lambda: {tuple(labels): 1})
    else:
        metrics.record(definition.name, 0.5, *labels)
    suffix = '_count' if definition.kind is _metrics.Kind.HISTOGRAM else ''
    pattern = rf'^{definition.name}{suffix}\{{.*\}} 1\.0$'
    scrape = metrics.render().decode()
    assert re.search(pattern, scrape, re.MULTILINE)
    assert all(f'{label}="x"' in scrape for label in definition.labels)
    metrics.close()
