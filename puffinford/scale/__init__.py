"""Scale runs: hollow balancers, many to a process, beside real ones, under stories with faults."""
