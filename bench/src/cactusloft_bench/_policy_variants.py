"""Variants of overload control in the policy comparison."""

import attrs

from cactusloft_admission import controller


@attrs.frozen
class Variant:
    """One combination of overload mechanisms.

    :ivar is_layered: whether owners admit calls and enforce deadlines.
    :ivar static_limit: whether a fixed limit without a queue replaces the
        admission library.
    :ivar has_allowance: whether a nested retry must fit the retry budget of
        the service and the retry allowance of the root call.
    :ivar policy: enabled mechanisms of the admission library.
    """

    name: str
    is_layered: bool = True
    static_limit: bool = False
    has_allowance: bool = True
    policy: controller.AdmissionPolicy = controller.AdmissionPolicy()


def _build_without(mechanism):
    policy = attrs.evolve(controller.AdmissionPolicy(), **{mechanism: False})
    return Variant(f'without {mechanism}', policy=policy)


CHOSEN = Variant('chosen design')
VARIANTS = (
    Variant('no layer', is_layered=False, has_allowance=False),
    Variant('static limit', static_limit=True, has_allowance=False),
    CHOSEN,
    *(
        _build_without(field.name)
        for field in attrs.fields(controller.AdmissionPolicy)
    ),
    Variant('without retry_allowance', has_allowance=False),
)
