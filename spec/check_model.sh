#!/usr/bin/env bash
# Checks the models of a database group, of the control voters, of removed
# members and of quotas exhaustively within the bounds below, and checks that an
# error is found in each broken variant. Prints the errors, states and seconds of
# each run.
set -euo pipefail
models="$(cd "$(dirname "$0")" && pwd)"
model="$models/group.pml"
memory_megabytes=3500
time_limit_seconds=300
depth=100000
work_directory="$(mktemp -d)"
trap 'rm -rf "$work_directory"' EXIT
cd "$work_directory"

for tool in spin gcc timeout; do
  command -v "$tool" > /dev/null || { echo "$tool is not installed"; exit 1; }
done

# explore DEFINITIONS...: runs a search; prints its errors, states and seconds.
explore() {
  spin -a "$@" "$model" > /dev/null
  gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM="$memory_megabytes" -o pan pan.c
  timeout "$time_limit_seconds" ./pan -E "-m$depth" > report.txt 2>&1 || true
  # A search that did not complete proves nothing, unless it found an error.
  if grep -qE 'max search depth|out of memory|Search not completed' report.txt
  then
    grep -q 'errors: 1' report.txt || { echo 'not exhaustive'; return; }
  fi
  local errors states seconds
  errors="$(sed -nE 's/.*errors: ([0-9]+).*/\1/p' report.txt)"
  states="$(sed -nE 's/^ *([0-9.e+]+) states, stored.*/\1/p' report.txt)"
  seconds="$(sed -nE 's/.*elapsed time ([0-9.]+).*/\1/p' report.txt)"
  echo "${errors:-no end:} errors, ${states:-?} states, ${seconds:-?} s"
}

status=0

# expect ERRORS DEFINITIONS...: runs a search and compares its errors.
expect() {
  local expected_errors="$1" result
  shift
  result="$(explore "$@")"
  echo "$*: $result"
  [[ "$result" == "$expected_errors errors,"* ]] ||
    { echo '  NOT AS EXPECTED'; status=1; }
}

expect 0 -DTERMS=3 -DWRITES=1
expect 0 -DTERMS=2 -DWRITES=3
expect 1 -DTERMS=3 -DWRITES=1 -DNO_FENCE
expect 1 -DTERMS=3 -DWRITES=1 -DNO_TERM_CHECK
expect 1 -DTERMS=3 -DWRITES=2 -DNO_FENCED_CHECK
expect 1 -DTERMS=3 -DWRITES=1 -DANY_FENCED
expect 1 -DTERMS=3 -DWRITES=1 -DEARLY_ADOPTION

model="$models/lease.pml"
expect 0 -DTERMS=3 -DWRITES=2
expect 1 -DTERMS=3 -DWRITES=2 -DNO_LEASE_WAIT
expect 1 -DTERMS=3 -DWRITES=2 -DRENEW_OLD_TERM
expect 1 -DTERMS=3 -DWRITES=2 -DONE_FENCED
expect 1 -DTERMS=3 -DWRITES=2 -DANY_FENCED

model="$models/voters.pml"
expect 0 -DTERMS=3 -DENTRIES=3
expect 0 -DTERMS=2 -DENTRIES=4
expect 1 -DTERMS=3 -DENTRIES=4 -DTWO_AT_ONCE
expect 1 -DTERMS=3 -DENTRIES=3 -DSAME_IDENTITY
expect 1 -DDISKS=5 -DFOUNDERS=15 -DTERMS=3 -DENTRIES=3 -DNO_TERM_START

model="$models/removal.pml"
expect 0 -DWRITES=3
expect 1 -DWRITES=2 -DREMOVED_AT_ONCE
expect 1 -DWRITES=2 -DEARLY_CONFIRM

model="$models/quota.pml"
expect 0 -DTICKS=5 -DBURST=2
expect 1 -DTICKS=5 -DBURST=2 -DFULL_START
expect 1 -DTICKS=5 -DBURST=2 -DNO_CLAIM
expect 1 -DTICKS=5 -DBURST=2 -DNO_RESTART
expect 1 -DTICKS=5 -DBURST=2 -DNO_EXPIRY
expect 1 -DTICKS=5 -DBURST=2 -DNO_WITHHOLDING
exit "$status"
