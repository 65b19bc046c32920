"""Render, replace and read the tables of ``docs/CAPACITY.md``."""

import re


def render_slopes(slopes):
    """Return a Markdown table of the measured slopes."""
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
    """Return a Markdown table of the resident memory after imports."""
    rows = ['| process | resident MB |', '| --- | --- |']
    rows += [f'| {name} | {size:.1f} |' for name, size in imports.items()]
    return '\n'.join(rows)


def render_figures(figures):
    """Return a Markdown table of the figures at the planned size."""
    rows = [
        '| role | cost | figure | limit | how | mechanism |',
        '| --- | --- | --- | --- | --- | --- |',
    ]
    rows += [
        f'| {figure.role} | {figure.what} | {figure.value:.3g} {figure.unit} '
        f'| {figure.limit} | {figure.formula} | {figure.mechanism} |'
        for figure in figures
    ]
    return '\n'.join(rows)


def replace_table(text, name, table):
    """Return ``text`` with the table ``name`` replaced by ``table``.

    The table stands between the comments ``begin NAME`` and ``end NAME``;
    text without them is returned unchanged.

    >>> page = 'a\\n<!-- begin x -->\\nold\\n<!-- end x -->\\nb'
    >>> replace_table(page, 'x', 'new').splitlines()[2]
    'new'
    """
    begin, end = f'<!-- begin {name} -->', f'<!-- end {name} -->'
    pattern = re.compile(f'{begin}\n.*?{end}', re.DOTALL)
    return pattern.sub(lambda _: f'{begin}\n{table}\n{end}', text, count=1)


def read_table(text, name):
    """Return the table ``name``, or None if ``text`` has no such table."""
    pattern = f'<!-- begin {name} -->\n(.*?)\n<!-- end {name} -->'
    match = re.search(pattern, text, re.DOTALL)
    return match.group(1) if match else None
