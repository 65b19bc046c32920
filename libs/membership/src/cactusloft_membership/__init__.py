"""Announcements, leases, subsets and choice of backend server."""
