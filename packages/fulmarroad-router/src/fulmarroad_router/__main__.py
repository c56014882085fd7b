"""Run the router with `python -m fulmarroad_router`."""

from fulmarroad_router.cli import main

main()
