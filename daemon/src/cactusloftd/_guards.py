"""Load and failure protection that entry and owner share."""

import attrs

from cactusloftd import _flow
from cactusloftd import _marks
from cactusloftd import _messages
from cactusloftd import _retries


@attrs.frozen
class Guards:
    """Pressure, crash marks and retries of one daemon."""

    flow: _flow.Flow
    marks: _marks.Marks
    retries: _retries.Retries

    def handle_messages(self, node):
        """Register handlers for the requests of other daemons.

        :param node: :class:`link.LinkNode`.
        """
        node.handle_requests(
            _messages.RetryCreditRequest,
            self.retries.handle_retry_credit_request,
        )
        node.handle_requests(
            _messages.PermitRequest, self.marks.handle_permit_request
        )
