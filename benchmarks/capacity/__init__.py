"""docs/CAPACITY.md, computed from committed results and a fleet's targets (`make capacity`)."""
