"""Tests of the resident."""
