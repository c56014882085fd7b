"""The router daemon, which forwards callers' requests to backend servers."""
