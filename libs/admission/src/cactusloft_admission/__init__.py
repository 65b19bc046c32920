"""Admission control: limits, queue, fairness and shedding.

Submodules: :mod:`controller` (admission at the owner), :mod:`limits`
(adaptive concurrency limit, cold-start ramp, load reports), :mod:`queues`
(bounded queue with priority classes and fair shares) and :mod:`pressure`
(pressure reports and early refusal at the entry).
"""
