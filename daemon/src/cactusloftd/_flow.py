"""Pressure on its way up the call chain, and early refusal by it."""

from cactusloft_admission import pressure


class Flow:
    """Pressures that this daemon has heard of.

    :param config: :class:`_config.Config`.
    :param random: source of randomness for early refusal.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, config, random, now):
        self._config = config
        self._now = now
        self._table = pressure.PressureTable()
        self._used = pressure.Dependencies()
        self._early = pressure.EarlyRefusal(random.random)

    def record_call(self, call):
        """Take note of a call delivered to the local backend server."""
        self._used.record_call(call.route)

    def record_nested_call(self, parent, call):
        """Take note of a nested call of the local backend server."""
        self._used.record_nested_call(
            parent.route, call.context.service, call.route
        )

    def combine(self, call, own):
        """Return the pressure to report upstream for ``call``.

        :param own: pressure of the local backend server.
        """
        return self._used.combine(call.route, own, self._table, self._now())

    def receive(self, call, owner, report):
        """Keep the pressure that came with an answer.

        :param owner: name of the daemon that answered.
        """
        self._table.receive(
            call.context.service, call.route, owner, report, self._now()
        )

    def is_refused(self, call):
        """Tell whether a root call would be shed deeper in the chain."""
        context = call.context
        account = self._config.current.accounts.get(context.client_account)
        now = self._now()
        return self._early.is_refused(
            context.service,
            context.priority,
            context.client_account,
            account.weight if account else 1.0,
            self._table.read(context.service, call.route, now),
            now,
        )
