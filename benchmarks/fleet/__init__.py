"""Effects of the number of balancers, measured on decision modules in simulated time."""
