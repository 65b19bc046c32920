"""Answers of control hosts to a watch."""

import attrs
from returns import result

from cactusloft_model import document
from cactusloftd import _messages


@attrs.frozen
class Answer:
    """Reply to a watch, and what was known when the watch was sent.

    :ivar fault: why there is no reply, empty with one.
    :ivar sent_at: monotonic seconds before the watch was sent.
    :ivar base: document that was installed then.
    """

    fault: str
    reply: _messages.WatchReply | None = None
    sent_at: float = 0.0
    base: document.Document = document.EMPTY_DOCUMENT

    def is_newer_than(self, installed):
        """Tell whether the control host has what is not installed here.

        :param installed: :class:`_installed.InstalledDocument`.
        """
        evacuations = self.reply.evacuations
        if evacuations is not None:
            known = installed.evacuations.revision
            if evacuations.revision > known:
                return True
        return self.reply.version > installed.version.number

    def patch_base(self):
        """Return the document that results from the reply, as a Result."""
        if self.reply.changes is None:
            return result.Failure(('the answer holds no changes',))
        base = self.base
        if not self.reply.base_version:
            base = document.EMPTY_DOCUMENT
        return document.patch_document(base, self.reply.changes)
