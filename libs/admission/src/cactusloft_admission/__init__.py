"""Admission control: limits, queue, fairness and shedding."""
