"""A start without discovery, beside another tree of the program: see `__main__`."""
