"""Search for requests that daemons lose, in virtual time with seeded faults."""
