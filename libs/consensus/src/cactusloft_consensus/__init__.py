"""Replicated log with snapshots and replica membership."""
