"""The document and evacuations that this daemon has installed.

They come with a confirmation that they are current.

A version is installed only if it is higher than the installed one and was
confirmed after the start of the daemon. The second rule keeps a restarted
daemon from installing a version older than the one that it had before.
"""

import collections

import attrs
from returns import pipeline

from cactusloft_consensus import evacuations as evacuation_sets
from cactusloft_model import document
from cactusloft_model import events

# A revoked key is refused everywhere within this time, because a daemon whose
# confirmation is older refuses calls to keyed routes.
FRESHNESS_BOUND_S = 5.0
# Watches that are at most this many versions behind get differences instead
# of the whole document.
MAX_KEPT_VERSIONS = 8
_V = events.Event


@attrs.frozen
class Version:
    """A version of the document.

    :ivar change_id: id of the change that made it, empty for version 0.
    """

    number: int
    change_id: str


@attrs.frozen
class KeptVersion:
    """A recent version and the sections of its document."""

    version: Version
    sections: dict[str, document.Section]


NO_VERSION = Version(0, '')


class InstalledDocument:
    """The installed document; implements ``_config.Config``.

    :param log: :class:`events.EventLog`.
    :param now: function that returns monotonic seconds.
    :param keeps_versions: whether to keep recent versions, as control hosts
        do to answer watches with differences.

    :ivar on_install: function called when a version was installed.
    :ivar confirmed_at: monotonic seconds at which the document was last known
        to be current, or None.
    :ivar evacuations: installed :class:`Evacuations`.
    :ivar on_evacuation: function called when they have changed.
    """

    def __init__(self, log, now, keeps_versions):
        self.current = document.EMPTY_DOCUMENT
        self.version = NO_VERSION
        self.confirmed_at = None
        self.evacuations = evacuation_sets.NO_EVACUATIONS
        self.on_evacuation = lambda: None
        self._log = log
        self._now = now
        self._started_at = now()
        self._kept = collections.OrderedDict()
        self._max_kept = MAX_KEPT_VERSIONS if keeps_versions else 0
        self._was_fresh = False
        self._refused_version = NO_VERSION
        self.on_install = lambda: None

    def is_fresh(self):
        """Tell whether keyed routes may be served."""
        is_fresh = self.age_s <= FRESHNESS_BOUND_S
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            event = _V.CONFIRMATION_STALE
            if is_fresh:
                event = _V.CONFIRMATION_RENEWED
            self._log.record(event, version=self.version.number)
        return is_fresh

    @property
    def age_s(self):
        """Return the seconds since the confirmation, infinite without one."""
        if self.confirmed_at is None:
            return float('inf')
        return self._now() - self.confirmed_at

    def has_refused(self, number):
        """Tell whether the version with this number is invalid here."""
        return self._refused_version.number == number > self.version.number

    def find_sections(self, version):
        """Return the sections of a recent version, or None.

        :param version: :class:`Version`.
        """
        kept = self._kept.get(version.number)
        if kept is None or kept.version != version:
            return None
        return kept.sections

    def update(
        self,
        version,
        confirmed_at,
        make_document,
        source='',
        evacuations=None,
    ):
        """Install a version of a control host or replica, and confirm it.

        :param version: :class:`Version` in force there.
        :param confirmed_at: monotonic seconds of the confirmation, or None.
        :param make_document: function called if the version is to be
            installed; returns ``Success(Document)`` or ``Failure(faults)``.
        :param source: name of the control host, for the log.
        :param evacuations: :class:`Evacuations` in force there, None if they
            are those that are installed here.
        :returns: whether a new version or revision was installed.
        """
        if confirmed_at is None or confirmed_at <= self._started_at:
            return False
        has_evacuated = self._install_evacuations(evacuations, source)
        is_new = version.number > self.version.number
        if is_new and not self._install(version, make_document()):
            # The confirmation is for the version that could not be installed.
            return has_evacuated
        previous = self.confirmed_at or confirmed_at
        self.confirmed_at = max(previous, confirmed_at)
        if is_new:
            self._log_installed(confirmed_at, previous, source)
        self.is_fresh()
        if is_new:
            self.on_install()
        return is_new or has_evacuated

    def _install_evacuations(self, evacuations, source):
        """Install the evacuations; tell whether they are newer."""
        if evacuations is None:
            return False
        if evacuations.revision <= self.evacuations.revision:
            return False
        self.evacuations = evacuations
        self._log.record(
            _V.EVACUATIONS_INSTALLED,
            revision=evacuations.revision,
            data_centres=','.join(evacuations.data_centres),
            source=source,
        )
        self.on_evacuation()
        return True

    def _install(self, version, parsed):
        if not pipeline.is_successful(parsed):
            if version != self._refused_version:
                self._refused_version = version
                self._log.record(
                    _V.DOCUMENT_REFUSED,
                    version=version.number,
                    fault=str(next(iter(parsed.failure()), '')),
                )
            return False
        self.current = parsed.unwrap()
        self.version = version
        self._kept[version.number] = KeptVersion(
            version, self.current.sections
        )
        if len(self._kept) > self._max_kept:
            self._kept.popitem(last=False)
        return True

    def _log_installed(self, confirmed_at, previous, source):
        now = self._now()
        self._log.record(
            _V.DOCUMENT_INSTALLED,
            version=self.version.number,
            source=source,
            age_s=round(now - confirmed_at, 3),
            previous_age_s=round(now - previous, 3),
        )
