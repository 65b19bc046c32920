"""Placing of calls by cost, remaining work, speed and distance.

Decisions only: no I/O, and the clock and the random source are passed in.
"""
