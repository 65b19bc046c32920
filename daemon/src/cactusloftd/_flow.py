"""Pressure reported up the call chain, and early refusal by it."""

from cactusloft_admission import pressure


class Flow:
    """Pressures that were reported to this daemon.

    :param config: :class:`_config.Config`.
    :param random: :class:`random.Random` for early refusal.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, config, random, now):
        self._config = config
        self._now = now
        self._pressures = pressure.PressureTable()
        self._dependencies = pressure.Dependencies()
        self._early_refusal = pressure.EarlyRefusal(random.random)

    def record_call(self, call):
        """Count a call delivered to the local backend server."""
        self._dependencies.record_call(call.route)

    def record_nested_call(self, parent, call):
        """Count a nested call made by the local backend server."""
        self._dependencies.record_nested_call(
            parent.route, call.context.service, call.route
        )

    def combine(self, call, local_pressure):
        """Return the pressure to report upstream for ``call``.

        :param local_pressure: pressure of the local backend server.
        """
        return self._dependencies.combine(
            call.route, local_pressure, self._pressures, self._now()
        )

    def receive(self, call, owner, report):
        """Store the pressure that an owner reported with its reply.

        :param owner: name of the daemon that replied.
        """
        self._pressures.receive(
            call.context.service, call.route, owner, report, self._now()
        )

    def is_refused(self, call):
        """Return whether to refuse a root call that would be shed later."""
        context = call.context
        account = self._config.current.accounts.get(context.client_account)
        now = self._now()
        return self._early_refusal.is_refused(
            context.service,
            context.priority,
            context.client_account,
            account.weight if account else 1.0,
            self._pressures.read(context.service, call.route, now),
            now,
        )
