"""Stand-ins, load generator and measurements."""
