"""Resource use of one balancer with 16 times the servers at the same traffic and total capacity."""
