"""Start a router from the source tree."""

import signal
import sys
from pathlib import Path

# The imports below take most of a second, in which a reload would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = ("fulmarroad", "fulmarroad-router", "fulmarroad-serving")

# The `platform` directory itself must not be on the path: it would hide the standard
# library's module of that name.
sys.path[:0] = [str(ROOT / "packages" / name / "src") for name in PACKAGES]
sys.path.insert(0, str(ROOT / "platform" / "src"))

from fulmarroad_platform.main import main  # noqa: E402

if __name__ == "__main__":
    main(sys.argv[1:])
