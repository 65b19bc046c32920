"""Links between daemons: requests and flow-controlled streams."""

from cactusloft_link._background import keep_running
from cactusloft_link._codec import Codec
from cactusloft_link._codec import Frame
from cactusloft_link._codec import FrameType
from cactusloft_link._errors import LinkError
from cactusloft_link._errors import LinkFailure
from cactusloft_link._errors import StreamLostError
from cactusloft_link._immediate import ImmediateTask
from cactusloft_link._immediate import Wakeup
from cactusloft_link._keys import AllowedKeys
from cactusloft_link._keys import KeyPair
from cactusloft_link._keys import make_key_pair
from cactusloft_link._keys import Z85_KEY_CHARACTERS
from cactusloft_link._node import Link
from cactusloft_link._node import LinkNode
from cactusloft_link._node import PeerAddress
from cactusloft_link._streams import Stream
from cactusloft_link._timeouts import limit

__all__ = [
    'AllowedKeys',
    'Codec',
    'Frame',
    'FrameType',
    'ImmediateTask',
    'KeyPair',
    'Link',
    'LinkError',
    'LinkFailure',
    'LinkNode',
    'PeerAddress',
    'Stream',
    'StreamLostError',
    'Wakeup',
    'Z85_KEY_CHARACTERS',
    'keep_running',
    'limit',
    'make_key_pair',
]
