"""Sources of the server list: discovery or relays over HTTP, or an inventory file."""
