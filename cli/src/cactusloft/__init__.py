"""The cactusloft command-line tool."""
