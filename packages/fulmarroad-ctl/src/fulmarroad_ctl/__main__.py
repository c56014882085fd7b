"""Run the operators' command line by `python -m fulmarroad_ctl`."""

from fulmarroad_ctl.cli import main

main()
