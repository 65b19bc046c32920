"""Storage of a replica's log in its data folder."""

from cactusloft_consensus._files import Files
from cactusloft_consensus._files import FolderFiles
from cactusloft_consensus._storage import open_storage
from cactusloft_consensus._storage import Storage
from cactusloft_consensus._storage import StorageError

__all__ = ['Files', 'FolderFiles', 'Storage', 'StorageError', 'open_storage']
