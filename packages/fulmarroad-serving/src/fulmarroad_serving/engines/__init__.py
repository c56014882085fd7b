"""Models of the inference engines behind a service."""
