"""Attempts of one call to reserve an idempotency key by majority vote.

This module does no I/O: it returns the requests that the client sends, and is
given the replies. An attempt that did not win is abandoned for good before the
next one starts, and later attempts of the same call have higher numbers, so
late votes for an earlier attempt are harmless.

The vote can split between concurrent calls. The call with the lowest id then
*fences* the others: it asks the members that did not vote for a rival to
promise that they never will. Once a majority has promised, the rival's attempt
cannot win any more and its votes are released, even if its entry has crashed.
The other calls release their own votes and back off before they try again.
"""

import enum

import attrs

from cactusloft_ledger import _member
from cactusloft_ledger import _messages

# A rival whose entry is running releases its votes within one round. A rival
# that still has votes after this many rounds is fenced whatever its id.
MAX_RIVAL_ROUNDS = 3

_S = _messages.Status


class Verdict(enum.Enum):
    """Result of an attempt to reserve a key."""

    WON = 'won'
    REPEAT = 'repeat'
    BACK_OFF = 'back_off'
    OTHER_EPOCH = 'other_epoch'
    UNAVAILABLE = 'unavailable'


@attrs.frozen
class MemberRequest:
    """A message to one ledger member.

    :ivar member: name of the member.
    :ivar step: step of the claim that the reply belongs to. A reply to an
        earlier step is ignored; 0 is used when the claim needs no reply.
    """

    member: str
    message: object
    step: int


@attrs.frozen
class Ticket:
    """A call and the idempotency key that it reserves.

    :ivar fingerprint: digest of the request.
    """

    client_account: str
    idempotency_key: str
    call_id: str
    fingerprint: str


class Claim:
    """State machine of the attempts of one call to reserve its key.

    :param ticket: :class:`Ticket`.
    :ivar attempt: number of the latest attempt, from 1.
    :ivar verdict: :class:`Verdict` of the latest attempt, None while open.
    :ivar holder: holder that has a majority, for ``REPEAT`` of an open call.
    :ivar outcome: stored outcome, for ``REPEAT`` of a call that ended.
    """

    def __init__(self, ticket):
        self._ticket = ticket
        self._epoch = 0
        self._members = ()
        self._step = 0
        self._replies = {}
        self._expected = frozenset()
        self._denials = {}
        self._rival_rounds = {}
        self.attempt = 0
        self.verdict = None
        self.holder = None
        self.outcome = None

    @property
    def is_contested(self):
        """Tell whether a reply named another call as holder of the key."""
        return bool(self._rival_rounds)

    @property
    def should_release(self):
        """Tell whether to release this call's votes before the next attempt.

        A call that may fence all its rivals keeps its votes.
        """
        return not all(
            self._may_fence(call_id) for call_id in self._rival_rounds
        )

    def reset_rivals(self):
        """Clear the rivals seen so far; the key is free again."""
        self._rival_rounds = {}

    def start_attempt(self, epoch, members, remaining_ms):
        """Start the next attempt and return its vote requests.

        :param epoch: epoch of the ledger group.
        :param members: names of the ledger group in ``epoch``.
        :param remaining_ms: milliseconds until the call's deadline.
        :returns: list of :class:`MemberRequest`.
        """
        self.attempt += 1
        self.verdict = self.holder = self.outcome = None
        self._epoch = epoch
        self._members = tuple(members)
        self._denials = {}
        message = _messages.Reserve(
            self._ticket.client_account,
            self._ticket.idempotency_key,
            epoch,
            self._ticket.call_id,
            self.attempt,
            self._ticket.fingerprint,
            remaining_ms,
        )
        return self._make_step_requests(self._members, message)

    def handle_reply(self, request, reply):
        """Process the reply to a request and set the verdict once it is known.

        :param reply: :class:`LedgerReply`, None when no reply came.
        :returns: list of :class:`MemberRequest` to send next.
        """
        if request.step != self._step or self.verdict is not None:
            return []
        if isinstance(request.message, _messages.Reserve):
            self._replies[request.member] = reply
            return self._decide_votes()
        self._record_promise(request, reply)
        return self._decide_promises()

    def make_release(self):
        """Return the requests that release this call's attempts.

        :returns: list of :class:`MemberRequest`.
        """
        return [
            MemberRequest(
                member,
                self._make_release_message(self._ticket.call_id, self.attempt),
                0,
            )
            for member in self._members
        ]

    def _make_release_message(self, call_id, attempt):
        return _messages.Release(
            self._ticket.client_account,
            self._ticket.idempotency_key,
            self._epoch,
            call_id,
            attempt,
        )

    def _make_step_requests(self, members, message):
        self._step += 1
        self._replies = {}
        self._expected = frozenset(members)
        return [
            MemberRequest(member, message, self._step) for member in members
        ]

    def _conclude(self, verdict):
        self.verdict = verdict
        self._step += 1
        return []

    def _find_valid_replies(self):
        """Return the replies that count in this epoch, by member."""
        return {
            member: reply
            for member, reply in self._replies.items()
            if reply is not None
            and reply.epoch == self._epoch
            and reply.status is not _S.REFUSED
        }

    def _decide_votes(self):
        majority = _member.count_majority(len(self._members))
        valid = self._find_valid_replies()
        outcome = next((r.outcome for r in valid.values() if r.outcome), None)
        if outcome is not None:
            self.outcome = outcome
            return self._conclude(Verdict.REPEAT)
        granted = sum(r.status is _S.GRANTED for r in valid.values())
        if granted >= majority:
            return self._conclude(Verdict.WON)
        rivals = self._find_rivals(valid)
        for holder, members in rivals.values():
            if len(members) >= majority:
                self.holder = holder
                return self._conclude(Verdict.REPEAT)
        if len(self._replies) < len(self._expected):
            return []
        return self._decide_without_winner(valid, rivals, majority)

    def _decide_without_winner(self, valid, rivals, majority):
        """Decide once all members replied and no call has a majority."""
        for call_id in rivals:
            self._rival_rounds[call_id] = (
                self._rival_rounds.get(call_id, 0) + 1
            )
        received = (r for r in self._replies.values() if r is not None)
        if any(r.epoch > self._epoch for r in received):
            return self._conclude(Verdict.OTHER_EPOCH)
        if len(valid) < majority:
            return self._conclude(Verdict.UNAVAILABLE)
        if not rivals:
            is_barred = any(r.status is _S.BARRED for r in valid.values())
            return self._conclude(
                Verdict.BACK_OFF if is_barred else Verdict.UNAVAILABLE
            )
        fenceable = [c for c in rivals if self._may_fence(c)]
        if len(fenceable) < len(rivals):
            return self._conclude(Verdict.BACK_OFF)
        return self._make_denials(rivals, valid)

    def _find_rivals(self, valid):
        """Return the other calls with votes.

        :returns: dict of call id to (holder with the latest attempt, names of
            the members that voted for it).
        """
        rivals = {}
        for member, reply in valid.items():
            for holder in reply.holders:
                if holder.call_id == self._ticket.call_id:
                    continue
                known, members = rivals.get(holder.call_id, (holder, set()))
                if holder.attempt > known.attempt:
                    known = holder
                rivals[holder.call_id] = (known, members | {member})
        return rivals

    def _may_fence(self, call_id):
        """Tell whether this call may fence the rival ``call_id``."""
        if self._ticket.call_id < call_id:
            return True
        return self._rival_rounds[call_id] > MAX_RIVAL_ROUNDS

    def _make_denials(self, rivals, valid):
        """Return requests to the members that did not vote for a rival."""
        self._step += 1
        requests = []
        for holder, members in rivals.values():
            self._denials[holder.call_id] = (holder, set(), set())
            message = _messages.Deny(
                self._ticket.client_account,
                self._ticket.idempotency_key,
                self._epoch,
                holder.call_id,
                holder.attempt,
            )
            non_voters = [member for member in valid if member not in members]
            requests.extend(
                MemberRequest(member, message, self._step)
                for member in non_voters
            )
        self._expected = frozenset(
            (request.member, request.message.call_id) for request in requests
        )
        # No request is left when each member that replied voted for a rival.
        return requests or self._conclude(Verdict.BACK_OFF)

    def _record_promise(self, request, reply):
        _, promised, answered = self._denials[request.message.call_id]
        answered.add(request.member)
        if reply is None or reply.epoch != self._epoch:
            return
        if reply.status is _S.BARRED:
            promised.add(request.member)

    def _decide_promises(self):
        answered = sum(len(a) for _, _, a in self._denials.values())
        if answered < len(self._expected):
            return []
        majority = _member.count_majority(len(self._members))
        requests = [
            MemberRequest(
                member,
                self._make_release_message(holder.call_id, holder.attempt),
                0,
            )
            for holder, promised, _ in self._denials.values()
            if len(promised) >= majority
            for member in self._members
        ]
        self._conclude(Verdict.BACK_OFF)
        return requests
