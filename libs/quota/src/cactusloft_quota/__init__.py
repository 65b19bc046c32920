"""Rate leases: allocator and holders."""
