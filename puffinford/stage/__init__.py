"""Fault tests on loopback: many balancer processes, with faults injected on their links and in processes."""
