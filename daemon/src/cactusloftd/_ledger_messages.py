"""Messages of the call ledger, and the codec of daemons that use it."""

import cactusloft_ledger as ledger
import cactusloft_link as link
from cactusloftd import _messages

LEDGER_MESSAGES = (
    ledger.Reserve,
    ledger.Deny,
    ledger.Release,
    ledger.Complete,
    ledger.Query,
)

CODEC = link.Codec(
    {
        **_messages.MESSAGES,
        **dict(enumerate(LEDGER_MESSAGES, 40)),
        45: ledger.LedgerReply,
        46: ledger.CopyRequest,
        47: ledger.CopyPage,
    }
)
