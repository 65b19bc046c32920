"""Idempotency reservations and kept answers."""
