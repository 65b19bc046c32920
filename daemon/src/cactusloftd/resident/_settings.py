"""Settings of a resident, made from the settings of its platform."""

from cactusloft_model import errors
from cactusloftd import _control_hosts
from cactusloftd import _settings

ControlHost = _control_hosts.ControlHost


class SettingsError(errors.UserError):
    """The settings of the platform are invalid."""


def make_settings(
    name,
    host,
    data_centre,
    region,
    peers,
    control_hosts,
    data_folder,
    shutdown_grace_s,
    least_voters,
    data_centres=(),
):
    """Return the :class:`_settings.Settings` of a resident.

    Peers are not authenticated: the platform provides no key material, so
    every process that can connect to the peer port is trusted.

    :param peers: ``IP:port`` at which to listen for other residents.
    :param control_hosts: the seeds, each a :class:`ControlHost`.
    :param data_folder: folder of the control replica, empty on other hosts.
    :param shutdown_grace_s: seconds from SIGTERM until the process must have
        exited.
    :param least_voters: number of voters below which the control group accepts
        no change.
    :param data_centres: all data centres of the fleet, empty if unknown.
    """
    return _settings.Settings(
        name=name,
        host=host,
        data_centre=data_centre,
        region=region,
        listeners=_settings.Listeners('', '', '', peers),
        security=_settings.Security('', None, ''),
        control_hosts=_control_hosts.DiscoveredControlHosts(control_hosts),
        data_folder=data_folder,
        document_file='',
        shutdown_grace_s=shutdown_grace_s,
        log_level='info',
        least_voters=least_voters,
        data_centres=tuple(data_centres),
    )
