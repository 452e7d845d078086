"""State that survives the process: the server list and the health learned of each server, valued by age."""
