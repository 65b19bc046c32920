"""An entry's attempts to win a key: votes, a split vote, and fencing.

Sends and replies are values; the client delivers them. An attempt that did not
win is given up for good before the next one starts, and a later attempt of the
same call has a higher number, so late votes for an earlier one are harmless.

A vote can split between concurrent calls. The call with the lowest id then
*fences* the others: it asks the members without a vote for a rival to promise
that they never give one. With promises of a majority the rival attempt can
never win, and its votes are released, also when its entry is dead. The others
release their own votes and wait before they try again.
"""

import enum

import attrs

from cactusloft_ledger import _member
from cactusloft_ledger import _messages

# A rival whose entry lives releases its votes within a round. One that was
# seen in more rounds than this is fenced whatever its id.
MAX_RIVAL_ROUNDS = 3

_S = _messages.Status


class Verdict(enum.Enum):
    """Result of an attempt."""

    WON = 'won'
    REPEAT = 'repeat'
    BACK_OFF = 'back_off'
    OTHER_EPOCH = 'other_epoch'
    UNAVAILABLE = 'unavailable'


@attrs.frozen
class Send:
    """A message for a member.

    :ivar serial: step of the claim; a reply to an earlier step is dropped.
    """

    member: str
    message: object
    serial: int


@attrs.frozen
class Ticket:
    """A call and the key that it claims."""

    client_account: str
    idempotency_key: str
    call_id: str
    fingerprint: str


class Claim:
    """Decide on the replies to one call's attempts.

    :param ticket: :class:`Ticket`.
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
        """Tell whether another call was seen to hold the key."""
        return bool(self._rival_rounds)

    @property
    def should_release(self):
        """Tell whether to release this call's votes before the next attempt.

        The call that may fence all others keeps its votes.
        """
        return not all(
            self._may_fence(call_id) for call_id in self._rival_rounds
        )

    def reset_rivals(self):
        """Count rivals anew once the key is free again."""
        self._rival_rounds = {}

    def begin(self, epoch, members, remaining_ms):
        """Start the next attempt.

        :param members: names of the ledger group in ``epoch``.
        :param remaining_ms: milliseconds until the call's deadline.
        :returns: list of :class:`Send`.
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
        return self._make_sends(self._members, message)

    def take(self, send, reply):
        """Take the reply to ``send``, or None when there was none.

        :returns: list of further :class:`Send`.
        """
        if send.serial != self._step or self.verdict is not None:
            return []
        if isinstance(send.message, _messages.Reserve):
            self._replies[send.member] = reply
            return self._decide_votes()
        self._record_promise(send, reply)
        return self._decide_promises()

    def make_release(self):
        """Return the messages that release this call's attempts.

        :returns: list of :class:`Send`.
        """
        return [
            Send(
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

    def _make_sends(self, members, message):
        self._step += 1
        self._replies = {}
        self._expected = frozenset(members)
        return [Send(member, message, self._step) for member in members]

    def _conclude(self, verdict):
        self.verdict = verdict
        self._step += 1
        return []

    def _find_valid_replies(self):
        """Return replies of this epoch by member."""
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
        ended = next((r.outcome for r in valid.values() if r.outcome), None)
        if ended is not None:
            self.outcome = ended
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
        """Decide after all replies without a winner."""
        for call_id in rivals:
            self._rival_rounds[call_id] = (
                self._rival_rounds.get(call_id, 0) + 1
            )
        replies = (r for r in self._replies.values() if r is not None)
        if any(r.epoch > self._epoch for r in replies):
            return self._conclude(Verdict.OTHER_EPOCH)
        if len(valid) < majority:
            return self._conclude(Verdict.UNAVAILABLE)
        if not rivals:
            is_barred = any(r.status is _S.BARRED for r in valid.values())
            return self._conclude(
                Verdict.BACK_OFF if is_barred else Verdict.UNAVAILABLE
            )
        fenced = [c for c in rivals if self._may_fence(c)]
        if len(fenced) < len(rivals):
            return self._conclude(Verdict.BACK_OFF)
        return self._make_denials(rivals, valid)

    def _find_rivals(self, valid):
        """Return (holder, members) by call id for all other calls."""
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
        if self._ticket.call_id < call_id:
            return True
        return self._rival_rounds[call_id] > MAX_RIVAL_ROUNDS

    def _make_denials(self, rivals, valid):
        """Ask the members without a vote for a rival to promise none."""
        self._step += 1
        sends = []
        for holder, members in rivals.values():
            self._denials[holder.call_id] = (holder, set(), set())
            message = _messages.Deny(
                self._ticket.client_account,
                self._ticket.idempotency_key,
                self._epoch,
                holder.call_id,
                holder.attempt,
            )
            asked = [member for member in valid if member not in members]
            sends.extend(Send(m, message, self._step) for m in asked)
        self._expected = frozenset(
            (send.member, send.message.call_id) for send in sends
        )
        # Every member that answered may hold some rival's vote.
        return sends or self._conclude(Verdict.BACK_OFF)

    def _record_promise(self, send, reply):
        _, promised, answered = self._denials[send.message.call_id]
        answered.add(send.member)
        if reply is None or reply.epoch != self._epoch:
            return
        if reply.status is _S.BARRED:
            promised.add(send.member)

    def _decide_promises(self):
        answered = sum(len(a) for _, _, a in self._denials.values())
        if answered < len(self._expected):
            return []
        majority = _member.count_majority(len(self._members))
        sends = [
            Send(
                member,
                self._make_release_message(holder.call_id, holder.attempt),
                0,
            )
            for holder, promised, _ in self._denials.values()
            if len(promised) >= majority
            for member in self._members
        ]
        self._conclude(Verdict.BACK_OFF)
        return sends
