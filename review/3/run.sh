#!/bin/bash
# Plays case 3; see claim.txt. 0: the rule held, 1: it was broken, 2: the case couldn't run. TROUBLE=0: the same without
# the disruption. It needs the project's bin/, and what ../build.sh builds.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
[ -x "$here/../bin/case3" ] || "$here/../build.sh" || exit 2
exec "$here/../bin/case3" "$here"
