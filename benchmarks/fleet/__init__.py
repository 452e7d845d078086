"""What grows with the number of balancers: stories in settable time, the real modules side by side."""
