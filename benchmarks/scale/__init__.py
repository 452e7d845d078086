"""What one balancer and the list service cost by size, and runs of thousands of balancers."""
