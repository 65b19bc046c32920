"""Measure all slopes and write the data file, the plot and the tables."""

import argparse
import datetime
import pathlib

import matplotlib.figure

from cactusloft_bench.capacity import _message_probes
from cactusloft_bench.capacity import _page
from cactusloft_bench.capacity import _probes
from cactusloft_bench.capacity import _process_probes
from cactusloft_bench.capacity import _results

PLOTTED_SLOPES = (
    'document change by section',
    'processor time of a control host',
    'lease request at the allocator',
    'ledger memory',
)


def main(arguments=None):
    """Run the probes, unless told to render only, and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--docs',
        default='docs',
        help='folder of CAPACITY.md, capacity.json and capacity.png',
    )
    parser.add_argument(
        '--render',
        action='store_true',
        help='only render the tables again from capacity.json',
    )
    options = parser.parse_args(arguments)
    folder = pathlib.Path(options.docs)
    if not options.render:
        _write_measurements(folder)
    _update_page(folder)


def _write_measurements(folder):
    slopes = []
    for slope in _probe_all():
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
    _write_plot(folder / 'capacity.png', slopes)


def _update_page(folder):
    results = _results.read_results(folder / 'capacity.json')
    page_path = folder / 'CAPACITY.md'
    text = page_path.read_text()
    for name, table in results.render_tables().items():
        text = _page.replace_table(text, name, table)
    page_path.write_text(text)


def _probe_all():
    yield from _probes.probe_all()
    yield from _message_probes.probe_all()
    yield from _process_probes.probe_all()


def _write_plot(path, slopes):
    plotted = [slope for slope in slopes if slope.name in PLOTTED_SLOPES]
    figure = matplotlib.figure.Figure(figsize=(9, 6), layout='constrained')
    axes = figure.subplots(2, 2)
    for axis, slope in zip(axes.flat, plotted, strict=True):
        axis.plot(slope.sizes, slope.costs, 'o')
        axis.plot(slope.sizes, [slope.compute(s) for s in slope.sizes])
        axis.set_title(slope.name)
        axis.set_xlabel(slope.quantity)
        axis.set_ylabel(slope.unit)
    figure.savefig(path, dpi=80)


if __name__ == '__main__':
    main()
