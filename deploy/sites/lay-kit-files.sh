#!/bin/bash
# Lays the three files of the kit that the bench wants beside a site's file, beside ours. Git ignores them: they are not ours.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
kit="${1:-$here/../../../given/kit}"
for file in real.json wire.json unlock.txt; do
    cp --no-preserve=mode "$kit/sites/$file" "$here/$file"
done
