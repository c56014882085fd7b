"""The router daemon: every process between callers and backend servers."""
