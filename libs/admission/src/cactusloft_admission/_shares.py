"""Start-time fair queueing over the client accounts of a priority class.

Accounts are charged slot seconds rather than calls, so that an account with
expensive requests cannot use more than its share of a backend server.
"""

DEFAULT_CHARGE_S = 0.05
CHARGE_SMOOTHING = 0.1
MAX_KEPT_ACCOUNTS = 4096


class FairShares:
    """Virtual time of each account in one priority class."""

    def __init__(self):
        self._virtual_time = 0.0
        self._finish_tags = {}
        self._mean_charges = {}

    def find_start_tag(self, account):
        """Return the start tag of the account's next call in virtual time.

        An account that was idle starts at the present virtual time, so idle
        time earns it no credit and no debt.
        """
        return max(self._virtual_time, self._finish_tags.get(account, 0.0))

    def charge_start(self, account, weight, cost_s=0.0):
        """Charge the expected slot seconds of a call to its account.

        :param cost_s: expected slot seconds, 0 for the mean of the account.
        :returns: the charge in seconds, for ``settle``.
        """
        charge_s = cost_s or self._mean_charges.get(account, DEFAULT_CHARGE_S)
        self._virtual_time = self.find_start_tag(account)
        self._finish_tags[account] = self._virtual_time + charge_s / weight
        if len(self._finish_tags) > MAX_KEPT_ACCOUNTS:
            self._remove_idle_accounts()
        return charge_s

    def settle(self, account, weight, charge_s, used_s):
        """Replace the expected charge of an ended call by its actual one."""
        mean = self._mean_charges.get(account, used_s)
        mean += CHARGE_SMOOTHING * (used_s - mean)
        self._mean_charges[account] = mean
        if account in self._finish_tags:
            self._finish_tags[account] += (used_s - charge_s) / weight

    def _remove_idle_accounts(self):
        backlogged = {
            account: tag
            for account, tag in self._finish_tags.items()
            if tag > self._virtual_time
        }
        self._finish_tags = backlogged
        self._mean_charges = {
            account: mean
            for account, mean in self._mean_charges.items()
            if account in backlogged
        }
