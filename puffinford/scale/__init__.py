"""Scale runs: play a story of list changes and faults against a large fleet of balancers.

Most of the fleet are hollow balancers: the real list client and decisions without sockets to clients and
servers, hundreds to a process. A few real balancer processes run beside them for comparison.
"""
