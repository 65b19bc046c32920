"""Measure all slopes and write data file, plot and tables."""

import argparse
import datetime
import pathlib

import matplotlib.figure

from cactusloft_bench.capacity import _message_probes
from cactusloft_bench.capacity import _page
from cactusloft_bench.capacity import _probes
from cactusloft_bench.capacity import _process_probes
from cactusloft_bench.capacity import _results

PLOTTED = (
    'document change by section',
    'processor time of a control host',
    'lease request at the allocator',
    'ledger memory',
)


def main(arguments=None):
    """Run the probes and write their results under a folder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--docs', default='docs', help='folder of the page')
    parser.add_argument(
        '--render', action='store_true', help='only write the tables anew'
    )
    options = parser.parse_args(arguments)
    folder = pathlib.Path(options.docs)
    if not options.render:
        _measure_all(folder)
    _render_page(folder)


def _measure_all(folder):
    slopes = []
    for slope in _measure():
        print(
            f'{slope.name}: {slope.fixed:.3g} + {slope.slope:.3g} x '
            f'{slope.quantity} {slope.unit}, residual {slope.residual:.2f}',
            flush=True,
        )
        slopes.append(slope)
    results = _results.Results(
        datetime.date.today().isoformat(),
        tuple(slopes),
        _process_probes.measure_imports(),
    )
    _results.write_results(folder / 'capacity.json', results)
    _plot(folder / 'capacity.png', slopes)


def _render_page(folder):
    results = _results.read_results(folder / 'capacity.json')
    page = folder / 'CAPACITY.md'
    text = page.read_text()
    for name, table in results.render_tables().items():
        text = _page.replace_table(text, name, table)
    page.write_text(text)


def _measure():
    yield from _probes.probe_all()
    yield from _message_probes.probe_all()
    yield from _process_probes.probe_all()


def _plot(path, slopes):
    chosen = [slope for slope in slopes if slope.name in PLOTTED]
    figure = matplotlib.figure.Figure(figsize=(9, 6), layout='constrained')
    axes = figure.subplots(2, 2)
    for axis, slope in zip(axes.flat, chosen, strict=True):
        axis.plot(slope.sizes, slope.costs, 'o')
        axis.plot(slope.sizes, [slope.compute(s) for s in slope.sizes])
        axis.set_title(slope.name)
        axis.set_xlabel(slope.quantity)
        axis.set_ylabel(slope.unit)
    figure.savefig(path, dpi=80)


if __name__ == '__main__':
    main()
