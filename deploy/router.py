"""Put the sources on the path and start a router."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = ("fulmarroad", "fulmarroad-router", "fulmarroad-serving")

# The folder `platform` itself must not come onto the path: its name would hide the
# standard library's module.
sys.path[:0] = [str(ROOT / "packages" / name / "src") for name in PACKAGES]
sys.path.insert(0, str(ROOT / "platform" / "src"))

from fulmarroad_platform.main import main  # noqa: E402

if __name__ == "__main__":
    main(sys.argv[1:])
