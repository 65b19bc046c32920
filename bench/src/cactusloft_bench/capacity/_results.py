"""Read and write the measured results, and render tables from them."""

import pathlib

import attrs
import msgspec

from cactusloft_bench.capacity import _fits
from cactusloft_bench.capacity import _page
from cactusloft_bench.capacity import _plan


@attrs.frozen
class Results:
    """Results of one run of the measurements.

    :ivar measured_at: date of the run in ISO 8601 format.
    :ivar slopes: fitted line of each measured cost.
    :ivar imports: resident megabytes by name of a process that only imports
        modules.
    """

    measured_at: str
    slopes: tuple[_fits.Slope, ...]
    imports: dict[str, float]

    def render_tables(self):
        """Return a mapping from name to table of the capacity page."""
        slopes_by_name = {slope.name: slope for slope in self.slopes}
        figures = _plan.compute_figures(slopes_by_name, self.imports)
        return {
            'slopes': _page.render_slopes(self.slopes),
            'imports': _page.render_imports(self.imports),
            'figures': _page.render_figures(figures),
        }


def read_results(path):
    """Return the :class:`Results` stored in a JSON file."""
    content = pathlib.Path(path).read_bytes()
    return msgspec.json.decode(content, type=Results)


def write_results(path, results):
    """Write results as indented JSON with one value per line."""
    content = msgspec.json.encode(results)
    pathlib.Path(path).write_bytes(msgspec.json.format(content) + b'\n')
