#!/bin/bash
# What the size of the settings costs a gateway, for one program or for several in turn: a JSON line a figure. Each program is
# a folder as `build` leaves it; one that knows no settings that change in place plays its start, rest and re-read only.
#
#   lab/settings-cost.sh ../before . -- 4x2 58000x2 4x24000 58000x24000
#
# Exit status: 0 measured, 1 a start did not come up, 2 no program or no size (TENANTSxCLASSES) given.
set -euo pipefail
exec java -cp "$(dirname "$0")/../target/tinroad.jar" tinroad.lab.SettingsCost "$@"
