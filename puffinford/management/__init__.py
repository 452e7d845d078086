"""What operators call: the second address, the figures, cordons, and the change to a new version."""
