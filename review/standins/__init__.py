"""Stand-ins for the review's scripts: store, servers, clients and hosts."""
