"""Encrypted peer links over ZeroMQ."""
