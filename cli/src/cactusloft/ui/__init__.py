"""Commands of the cactusloft command-line tool."""
