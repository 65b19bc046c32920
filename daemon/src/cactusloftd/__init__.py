"""The cactusloft daemon."""
