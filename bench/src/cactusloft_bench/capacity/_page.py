"""The tables of ``docs/CAPACITY.md``, written from the measured slopes."""

import re


def render_slopes(slopes):
    """Return the table of measured slopes."""
    rows = [
        '| cost | grows with | unit | fixed | slope | sizes | residual |',
        '| --- | --- | --- | --- | --- | --- | --- |',
    ]
    for slope in slopes:
        sizes = ', '.join(f'{size:g}' for size in slope.sizes)
        rows.append(
            f'| {slope.name} | {slope.quantity} | {slope.unit} '
            f'| {slope.fixed:.3g} | {slope.slope:.3g} | {sizes} '
            f'| {100 * slope.residual:.0f}% |'
        )
    return '\n'.join(rows)


def render_imports(imports):
    """Return the table of memory that imports take."""
    rows = ['| process | resident MB |', '| --- | --- |']
    rows += [f'| {name} | {size:.1f} |' for name, size in imports.items()]
    return '\n'.join(rows)


def render_figures(figures):
    """Return the table of figures at the planned size."""
    rows = [
        '| role | cost | figure | limit | how | mechanism |',
        '| --- | --- | --- | --- | --- | --- |',
    ]
    rows += [
        f'| {f.role} | {f.what} | {f.value:.3g} {f.unit} | {f.limit} '
        f'| {f.formula} | {f.mechanism} |'
        for f in figures
    ]
    return '\n'.join(rows)


def replace_table(text, name, table):
    """Return ``text`` with the table between the markers of ``name``.

    >>> page = 'a\\n<!-- begin x -->\\nold\\n<!-- end x -->\\nb'
    >>> replace_table(page, 'x', 'new').splitlines()[2]
    'new'
    """
    begin, end = f'<!-- begin {name} -->', f'<!-- end {name} -->'
    pattern = re.compile(f'{begin}\n.*?{end}', re.DOTALL)
    return pattern.sub(lambda _: f'{begin}\n{table}\n{end}', text, count=1)


def read_table(text, name):
    """Return the table between the markers of ``name``, or None."""
    pattern = f'<!-- begin {name} -->\n(.*?)\n<!-- end {name} -->'
    found = re.search(pattern, text, re.DOTALL)
    return found.group(1) if found else None
