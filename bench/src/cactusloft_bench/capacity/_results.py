"""The measured results as a data file, and what is rendered from them."""

import pathlib

import attrs
import msgspec

from cactusloft_bench.capacity import _fits
from cactusloft_bench.capacity import _page
from cactusloft_bench.capacity import _plan


@attrs.frozen
class Results:
    """All that one run measured.

    :ivar measured_at: date of the run.
    :ivar imports: resident megabytes of processes that only import.
    """

    measured_at: str
    slopes: tuple[_fits.Slope, ...]
    imports: dict[str, float]

    def render_tables(self):
        """Return the tables of the page by name."""
        by_name = {slope.name: slope for slope in self.slopes}
        figures = _plan.compute_figures(by_name, self.imports)
        return {
            'slopes': _page.render_slopes(self.slopes),
            'imports': _page.render_imports(self.imports),
            'figures': _page.render_figures(figures),
        }


def read_results(path):
    """Return the :class:`Results` in a file."""
    content = pathlib.Path(path).read_bytes()
    return msgspec.json.decode(content, type=Results)


def write_results(path, results):
    """Write results as JSON, one value a line."""
    content = msgspec.json.encode(results)
    pathlib.Path(path).write_bytes(msgspec.json.format(content) + b'\n')
