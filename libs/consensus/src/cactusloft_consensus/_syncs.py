"""Which records of one replica are synced."""

# Tells records that were just written from none.
MIN_WAIT_S = 1e-9


class SyncTracker:
    """Follow the records of a node to the end of their sync.

    Records are numbered by the output that contains them.

    :param last_index: index of the last entry in storage.
    :param term: term in storage.
    :param now: monotonic time in seconds.
    """

    def __init__(self, last_index, term, now):
        self.synced_index = last_index
        self.synced_term = term
        self._collected = self._synced = 0
        self._vote = self._truncation = 0
        self._progress_at = now

    @property
    def is_vote_pending(self):
        """Tell whether the latest term and vote are not synced yet."""
        return self._synced < self._vote

    def is_disk_busy(self, now, limit_s):
        """Tell whether records wait for a sync of at most ``limit_s``.

        :param limit_s: seconds after which the disk counts as failed.
        """
        return 0.0 < self.measure_wait_s(now) <= limit_s

    def measure_wait_s(self, now):
        """Return for how long records have waited, 0 if all are synced."""
        if self._synced == self._collected:
            return 0.0
        return max(MIN_WAIT_S, now - self._progress_at)

    def add_vote(self):
        """Record that the next output contains a term or a vote."""
        self._vote = self._collected + 1

    def truncate(self, last_index):
        """Record that the next output replaces entries after an index."""
        self._truncation = self._collected + 1
        self.synced_index = min(self.synced_index, last_index)

    def collect(self, now):
        """Return the number of an output with records, made at ``now``."""
        if self._synced == self._collected:
            self._progress_at = now
        self._collected += 1
        return self._collected

    @property
    def latest(self):
        """Return the number of the latest output with records."""
        return self._collected

    def mark(self, number, term, now):
        """Record the end of the sync of the outputs up to ``number``."""
        self._progress_at = now
        self._synced = max(self._synced, number)
        self.synced_term = max(self.synced_term, term)

    def mark_index(self, number, index):
        """Record that output ``number`` put the entries up to ``index`` there.

        An output made before entries were replaced proves nothing about the
        entries that replaced them.
        """
        if number >= self._truncation:
            self.synced_index = max(self.synced_index, index)
