"""Variants that the policy comparison puts side by side."""

import attrs

from cactusloft_admission import controller


@attrs.frozen
class Variant:
    """One way to treat overload.

    :ivar is_layered: whether owners admit calls and carry deadlines.
    :ivar static_limit: whether a fixed limit without a queue replaces the
        admission library.
    :ivar has_allowance: whether nested retries need a credit.
    :ivar policy: parts of the chosen design that are on.
    """

    name: str
    is_layered: bool = True
    static_limit: bool = False
    has_allowance: bool = True
    policy: controller.AdmissionPolicy = controller.AdmissionPolicy()


def _switch_off(part):
    policy = attrs.evolve(controller.AdmissionPolicy(), **{part: False})
    return Variant(f'without {part}', policy=policy)


CHOSEN = Variant('chosen design')
VARIANTS = (
    Variant('no layer', is_layered=False, has_allowance=False),
    Variant('static limit', static_limit=True, has_allowance=False),
    CHOSEN,
    *(
        _switch_off(field.name)
        for field in attrs.fields(controller.AdmissionPolicy)
    ),
    Variant('without retry_allowance', has_allowance=False),
)
