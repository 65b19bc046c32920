"""Links between daemons: requests and flow-controlled streams."""

from cactusloft_link._codec import Codec
from cactusloft_link._codec import Frame
from cactusloft_link._codec import FrameType
from cactusloft_link._errors import LinkError
from cactusloft_link._errors import LinkFailure
from cactusloft_link._errors import StreamLostError
from cactusloft_link._keys import AllowedKeys
from cactusloft_link._keys import KeyPair
from cactusloft_link._keys import make_key_pair
from cactusloft_link._keys import Z85_KEY_CHARACTERS
from cactusloft_link._node import Link
from cactusloft_link._node import LinkNode
from cactusloft_link._node import PeerAddress
from cactusloft_link._streams import Stream

__all__ = [
    'AllowedKeys',
    'Codec',
    'Frame',
    'FrameType',
    'KeyPair',
    'Link',
    'LinkError',
    'LinkFailure',
    'LinkNode',
    'PeerAddress',
    'Stream',
    'StreamLostError',
    'Z85_KEY_CHARACTERS',
    'make_key_pair',
]
