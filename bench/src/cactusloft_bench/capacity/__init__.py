"""Measure cost slopes and extrapolate them to the planned size.

``python -m cactusloft_bench.capacity`` measures each cost at three or more
sizes and fits a straight line. It writes the slopes to ``docs/capacity.json``,
plots some of them in ``docs/capacity.png``, and updates the tables of
``docs/CAPACITY.md``.
"""
