"""Messages between replicas, log entries and storage records."""

from cactusloft_consensus._messages import Append
from cactusloft_consensus._messages import AppendReply
from cactusloft_consensus._messages import decode_message
from cactusloft_consensus._messages import encode_message
from cactusloft_consensus._messages import EntriesRecord
from cactusloft_consensus._messages import Entry
from cactusloft_consensus._messages import EntryKind
from cactusloft_consensus._messages import Envelope
from cactusloft_consensus._messages import InstallSnapshot
from cactusloft_consensus._messages import Member
from cactusloft_consensus._messages import PreVote
from cactusloft_consensus._messages import PreVoteReply
from cactusloft_consensus._messages import Rewrite
from cactusloft_consensus._messages import Snapshot
from cactusloft_consensus._messages import Vote
from cactusloft_consensus._messages import VoteRecord
from cactusloft_consensus._messages import VoteReply

__all__ = [
    'Append',
    'AppendReply',
    'EntriesRecord',
    'Entry',
    'EntryKind',
    'Envelope',
    'InstallSnapshot',
    'Member',
    'PreVote',
    'PreVoteReply',
    'Rewrite',
    'Snapshot',
    'Vote',
    'VoteRecord',
    'VoteReply',
    'decode_message',
    'encode_message',
]
