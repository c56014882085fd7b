"""Entry point of `python -m fulmarroad_ctl`."""

from fulmarroad_ctl.cli import main

main()
