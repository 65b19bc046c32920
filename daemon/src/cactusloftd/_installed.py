"""The document that this daemon has installed, and its confirmation.

A version is installed only when it is higher than the installed one and its
confirmation is later than the start of the daemon. The second rule keeps a
restarted daemon from going back behind a version that it had before.
"""

import collections

from returns import pipeline

from cactusloft_model import document
from cactusloft_model import events

# Revocation of a key takes effect within this time everywhere, because a
# daemon without a younger confirmation refuses keyed routes.
FRESHNESS_BOUND_S = 5.0
KEPT_TEXTS = 4
_V = events.Event


class Installed:
    """Document in force on this daemon; implements ``_config.Config``.

    :param log: :class:`events.EventLog`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, log, now):
        self.current = document.EMPTY_DOCUMENT
        self.version = 0
        self.confirmed_at = None
        self._log = log
        self._now = now
        self._started_at = now()
        self._texts = collections.OrderedDict({0: ''})
        self._was_fresh = False
        self._invalid_version = 0

    def is_fresh(self):
        """Tell whether keyed routes may be served."""
        is_fresh = self.age_s <= FRESHNESS_BOUND_S
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            event = _V.CONFIRMATION_STALE
            if is_fresh:
                event = _V.CONFIRMATION_RENEWED
            self._log.record(event, version=self.version)
        return is_fresh

    @property
    def age_s(self):
        """Return the seconds since the confirmation, infinite without one."""
        if self.confirmed_at is None:
            return float('inf')
        return self._now() - self.confirmed_at

    def find_text(self, version):
        """Return the text of a recent version, or None."""
        return self._texts.get(version)

    def needs_text(self, version, confirmed_at):
        """Tell whether the text of ``version`` is to be installed."""
        return version > self.version and self._counts(confirmed_at)

    def _counts(self, confirmed_at):
        return confirmed_at is not None and confirmed_at > self._started_at

    def take(self, version, text, confirmed_at):
        """Install and confirm what a control host reported.

        :param version: version in force at the control host.
        :param text: its text, or None when it was not sent.
        :param confirmed_at: monotonic seconds of the confirmation, or None.
        :returns: whether a new version was installed.
        """
        if not self._counts(confirmed_at):
            return False
        is_new = version > self.version and text is not None
        if is_new and not self._install(version, text):
            return False
        # A confirmation counts only with all changes that it covers.
        if self.version >= version:
            previous = self.confirmed_at or confirmed_at
            self.confirmed_at = max(previous, confirmed_at)
            self.is_fresh()
        return is_new

    def _install(self, version, text):
        parsed = document.parse_document(text)
        if not pipeline.is_successful(parsed):
            if version != self._invalid_version:
                self._invalid_version = version
                fault = str(parsed.failure()[0])
                self._log.record(
                    _V.DOCUMENT_REFUSED, version=version, fault=fault
                )
            return False
        self.current = parsed.unwrap()
        self.version = version
        self._texts[version] = text
        if len(self._texts) > KEPT_TEXTS:
            self._texts.popitem(last=False)
        self._log.record(_V.DOCUMENT_INSTALLED, version=version)
        return True
