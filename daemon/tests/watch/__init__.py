"""Tests of the watch in simulated time."""
