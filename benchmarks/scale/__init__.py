"""What balancers, list service and relays cost as the fleet grows."""
