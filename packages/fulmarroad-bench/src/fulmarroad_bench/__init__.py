"""Stand-ins, demo and experiments; a production fleet needs none of them."""
