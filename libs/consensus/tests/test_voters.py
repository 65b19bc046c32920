"""Tests of groups whose hosts are lost for good and replaced."""

import itertools

import attrs
import pytest

from cactusloft_consensus import messages

JOIN_INTERVAL_S = 0.3
CHECK_INTERVAL_S = 0.5
SUCCESSOR_DELAY_S = 1.0
RECOVERY_LIMIT_S = 30.0


@attrs.frozen
class Site:
    """Control hosts of a deployment.

    :ivar losses: disks that may be lost at the same time.
    :ivar catch_up_s: time after which a successor counts as a full member.
    """

    hosts: int
    losses: int
    catch_up_s: float


SITES = [
    Site(5, 1, 4.0),
    Site(9, 2, 6.0),
    Site(10, 2, 6.0),
    Site(11, 2, 6.0),
    Site(15, 2, 6.0),
]


class Deployment:
    """A group whose hosts join it and remove lost members by themselves."""

    def __init__(self, make_group, site, seed):
        self.group = make_group(
            site.hosts, seed, min_voters=2 * site.losses + 1
        )
        self._numbers = itertools.count(1)
        self._checked_at = self._asked_at = 0.0

    def run_for(self, duration_s):
        end = self.group.now + duration_s
        while self.group.now < end:
            self.group.step()
            self._keep_up()

    def run_until(self, is_done):
        end = self.group.now + RECOVERY_LIMIT_S
        while not is_done():
            assert self.group.now < end, 'not recovered in time'
            self.run_for(self.group.STEP_S)

    def lose(self, address):
        self.group.crash(address)
        del self.group.hosts[address]

    def add_successor(self):
        self.group.add_host(f'successor{next(self._numbers)}')

    def choose_hosts(self, count):
        """Return the leader and other hosts that are up."""
        leader = self.group.find_leader()
        others = [h for h in self.group.hosts.values() if h is not leader]
        chosen = self.group.random.sample(others, count - 1)
        return [host.address for host in (leader, *chosen)]

    def list_voters(self):
        members = self.group.find_leader().node.log.members
        return {m.replica_id for m in members if m.is_voter}

    def list_live(self):
        return {host.node.replica_id for host in self.group.hosts.values()}

    def _keep_up(self):
        leader = self.group.find_leader()
        if leader is None:
            return
        if self.group.now - self._checked_at >= CHECK_INTERVAL_S:
            self._checked_at = self.group.now
            removed = leader.node.find_removable_member()
            if removed is not None:
                members = leader.node.log.members
                leader.node.change_members(
                    tuple(m for m in members if m.replica_id != removed),
                    self.group.now,
                )
        if self.group.now - self._asked_at >= JOIN_INTERVAL_S:
            self._asked_at = self.group.now
            self._join(leader)

    def _join(self, leader):
        members = leader.node.log.members
        known = {member.replica_id for member in members}
        for host in self.group.hosts.values():
            if host.node is None or host.node.replica_id in known:
                continue
            joining = messages.Member(
                host.node.replica_id, host.address, False
            )
            kept = [m for m in members if m.address != host.address]
            if len(kept) == len(members):
                kept.append(joining)
            leader.node.change_members(tuple(kept), self.group.now)
            return


def _lose_disks(deployment, count):
    """Lose the disks of the leader and others; all others lose power."""
    group = deployment.group
    wiped = deployment.choose_hosts(count)
    for address in list(group.hosts):
        group.crash(address)
    for address in list(group.hosts):
        if address in wiped:
            group.replace_disk(address)
        else:
            group.restart(address)


@pytest.mark.parametrize('seed', range(1))
@pytest.mark.parametrize('site', SITES, ids=lambda site: f'{site.hosts}hosts')
@pytest.mark.parametrize('pause_s', [0.0, 1.5, 3.0])
def test_replaced_leaders_leave_no_majority_of_lost_voters(
    make_group, site, seed, pause_s
):
    """Leaders replaced in series must not cost the group its majority.

    Each successor joins as one more voter. If lost voters are not removed
    before further ones are lost, a lost disk ends the group for good.
    """
    deployment = Deployment(make_group, site, seed)
    group = deployment.group
    group.run_until(lambda: len(deployment.list_voters()) == site.hosts)
    for number in range(6):
        assert group.apply(number, f'change-{number}').version == number + 1
        for address in deployment.choose_hosts(site.losses):
            deployment.lose(address)
        deployment.run_for(SUCCESSOR_DELAY_S)
        for _ in range(site.losses):
            deployment.add_successor()
        deployment.run_for(site.catch_up_s + pause_s)
    _lose_disks(deployment, site.losses)
    deployment.run_until(
        lambda: (
            group.find_leader() is not None
            and group.find_leader().store.version >= 6
        )
    )
    deployment.run_until(
        lambda: deployment.list_voters() == deployment.list_live()
    )


def test_new_leader_knows_which_members_were_silent_before(make_group):
    """A lost member must not stay a voter because leaders change often."""
    deployment = Deployment(make_group, Site(5, 1, 4.0), seed=1)
    group = deployment.group
    group.run_until(lambda: len(deployment.list_voters()) == 5)
    leader = group.find_leader().address
    lost = next(host for host in group.hosts if host != leader)
    lost_id = group.hosts[lost].node.replica_id
    deployment.lose(lost)
    for _ in range(5):
        deployment.run_for(4.0)
        leader = group.find_leader().address
        group.crash(leader)
        group.restart(leader)
    group.run_until(lambda: group.find_leader() is not None)
    assert lost_id not in deployment.list_voters()


@pytest.mark.parametrize('seed', range(2, 14))
def test_restarted_leader_learns_which_members_were_silent(make_group, seed):
    """A restarted replica that wins must not start to count anew."""
    deployment = Deployment(make_group, Site(5, 1, 4.0), seed=seed)
    group = deployment.group
    group.run_until(lambda: len(deployment.list_voters()) == 5)
    leader = group.find_leader().address
    lost = next(host for host in group.hosts if host != leader)
    lost_id = group.hosts[lost].node.replica_id
    deployment.lose(lost)
    for _ in range(5):
        deployment.run_for(4.0)
        leader = group.find_leader().address
        group.crash(leader)
        group.restart(leader)
    group.run_until(lambda: group.find_leader() is not None)
    assert lost_id not in deployment.list_voters()


def test_short_silence_removes_no_member_of_an_odd_group(make_group):
    """A restart or a short partition must not shrink the group."""
    deployment = Deployment(make_group, Site(5, 1, 4.0), seed=1)
    group = deployment.group
    group.run_until(lambda: len(deployment.list_voters()) == 5)
    voters = deployment.list_voters()
    leader = group.find_leader().address
    isolated = [host for host in group.hosts if host != leader][:2]
    for address in isolated:
        group.isolate(address)
    deployment.run_for(10.0)
    assert deployment.list_voters() == voters


def test_member_that_returns_after_its_removal_is_a_voter_again(make_group):
    """A frozen host of an even group is removed early and joins again."""
    deployment = Deployment(make_group, Site(10, 2, 6.0), seed=1)
    group = deployment.group
    group.run_until(lambda: len(deployment.list_voters()) == 10)
    leader = group.find_leader().address
    isolated = next(host for host in group.hosts if host != leader)
    isolated_id = group.hosts[isolated].node.replica_id
    group.isolate(isolated)
    deployment.run_until(lambda: len(deployment.list_voters()) == 9)
    assert isolated_id not in deployment.list_voters()
    assert group.apply(0, 'first').version == 1
    group.blocked_links.clear()
    deployment.run_until(lambda: isolated_id in deployment.list_voters())
    group.run_until(lambda: group.hosts[isolated].store.version == 1)
