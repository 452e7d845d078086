"""Resource use of a balancer and of the list service by size, and runs with thousands of balancers."""
