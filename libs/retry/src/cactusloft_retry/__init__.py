"""Retry allowance, retry budget and quarantine."""
