"""What outlives the process: the machine list and what was learned of each server, weighed by age."""
