"""Messages about how far a version of the document has been installed."""

import attrs


@attrs.frozen
class RolloutQuery:
    """Question to a control host: who has not installed a version yet?

    :ivar wait_ms: longest time to wait until all have installed it.
    :ivar evacuation_revision: revision of the evacuations that they need
        besides the version, 0 for any.
    """

    version: int
    wait_ms: int
    evacuation_revision: int = 0


@attrs.frozen
class RolloutReply:
    """Reply to :class:`RolloutQuery`.

    :ivar lagging: daemons that watch the control host and have not reported
        the version.
    """

    lagging: tuple[str, ...]
