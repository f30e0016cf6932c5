#!/bin/bash
# Creates variants of the operators' sites in the folder of this script, for the bench. They are generated from ../given
# and not committed. Each variant changes settings of its original, so that a node that has the original's values built in
# instead of reading them fails:
#   ask-unsafe   from the second site: a class that must not run twice, one that is keyed by cell, a drain grace of 0.5 s,
#                two attempts
#   push-zones   from the first site: lists are pushed; three zones; other names, shares, deadlines and costs; three
#                attempts
# Usage: deploy/sites/make.sh [../given]
set -eu
here=$(cd "$(dirname "$0")" && pwd)
kit=$(cd "${1:-$here/../../../given}/kit" && pwd)
first=$kit/sites other=$kit/more/mass/other

# lay NAME FROM SITE: creates the folder NAME with the site, edited by the sed script on standard input, and with the files
# beside it.
lay() {
  mkdir -p "$here/$1"
  sed -E -f /dev/stdin "$2/$3.toml" > "$here/$1/$1.toml"
  cp -f "$2/real.json" "$2/wire.json" "$2/unlock.txt" "$here/$1/"
  chmod u+w "$here/$1"/*
}

lay ask-unsafe "$other" lakes-tourney <<'SED'
s/^name = "lakes-tourney"/name = "ask-unsafe"/
s/^max_attempts = .*/max_attempts = 2/
s/^drain_grace_ms = .*/drain_grace_ms = 500/
s/"result-entry"/"ledger-post"/
s/"deck-check"/"stock-move"/
s/"standings"/"price-look"/
/^name = "ledger-post"/,/^effect/ { s/^effect = .*/effect = "unsafe"/; s/^deadline_ms = .*/deadline_ms = 2500/; s/^share = .*/share = 0.25/ }
/^name = "stock-move"/,/^effect/ { s/^effect = .*/effect = "keyed"\ngroup = "cell"\nwindow_ms = 6000/; s/^share = .*/share = 0.25/ }
SED

lay push-zones "$first" austin-main <<'SED'
s/^name = "austin-main"/name = "push-zones"/
s/^mode = "ask"/mode = "push"/
s/^zones = .*/zones = ["north", "mid", "south"]/
s/^max_attempts = .*/max_attempts = 3/
s/^drain_grace_ms = .*/drain_grace_ms = 700/
s/^handshake_us = .*/handshake_us = [3200, 6000]/
s/"search"/"look-up"/
s/"waitlist-join"/"queue-up"/
s/"place-accept"/"sign-off"/
/^name = "look-up"/,/^effect/ { s/^deadline_ms = .*/deadline_ms = 1500/; s/^aim_ms = .*/aim_ms = 600/ }
/^name = "sign-off"/,/^group/ { s/^group = .*/group = "zone"/ }
SED
