"""Requests in progress on all HTTP listeners of a daemon."""

import attrs


@attrs.define
class Exchanges:
    """Count requests in progress, so that shutdown can wait for them.

    :ivar count: number of requests in progress.
    :ivar is_closing: whether new requests are refused.
    """

    count: int = 0
    is_closing: bool = False

    def __enter__(self):
        self.count += 1
        return self

    def __exit__(self, *_exc_info):
        self.count -= 1
