"""Start-time fair queueing over the client accounts of one class.

Accounts are charged slot seconds, not calls, so that an account with
expensive requests does not get more of a backend server than its share.
"""

DEFAULT_CHARGE_S = 0.05
CHARGE_SMOOTHING = 0.1
KEPT_ACCOUNTS = 4096


class FairShares:
    """Virtual time of each account in one class."""

    def __init__(self):
        self._virtual_time = 0.0
        self._finish_tags = {}
        self._mean_charges = {}

    def start_tag(self, account):
        """Return the virtual time at which the account's turn comes.

        An account that was idle starts at the present virtual time, so it
        neither saves up turns nor owes any.
        """
        return max(self._virtual_time, self._finish_tags.get(account, 0.0))

    def charge_start(self, account, weight):
        """Charge the expected slot seconds of a call.

        :returns: the charge in seconds, to be given to ``settle``.
        """
        charge_s = self._mean_charges.get(account, DEFAULT_CHARGE_S)
        self._virtual_time = self.start_tag(account)
        self._finish_tags[account] = self._virtual_time + charge_s / weight
        if len(self._finish_tags) > KEPT_ACCOUNTS:
            self._forget_idle()
        return charge_s

    def settle(self, account, weight, charge_s, used_s):
        """Replace the expected charge of an ended call by the real one."""
        mean = self._mean_charges.get(account, used_s)
        mean += CHARGE_SMOOTHING * (used_s - mean)
        self._mean_charges[account] = mean
        if account in self._finish_tags:
            self._finish_tags[account] += (used_s - charge_s) / weight

    def _forget_idle(self):
        live = {
            account: tag
            for account, tag in self._finish_tags.items()
            if tag > self._virtual_time
        }
        self._finish_tags = live
        self._mean_charges = {
            account: mean
            for account, mean in self._mean_charges.items()
            if account in live
        }
