"""Evenness of the load of servers behind many balancers, in normal operation and after faults."""
