"""Stand-ins, demo and experiments; nothing here is needed to run a fleet."""
