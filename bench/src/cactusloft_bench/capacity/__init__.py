"""Capacity figures: measured slopes, and what they give at a planned size.

``python -m cactusloft_bench.capacity`` measures each cost at three sizes or
more, fits a line, and writes the slopes to ``docs/capacity.json``, a plot and
the tables of ``docs/CAPACITY.md``.
"""
