"""The machine list: the discovery watch and the inventory file yield the same typed entries."""
