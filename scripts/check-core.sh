#!/usr/bin/env bash
# Checks that the packages of module core are pure: none imports packages for the
# network, the operating system, synchronisation, the runtime or logs, reads a clock,
# starts a goroutine or uses a global random source. Test files and the generated
# package peerpb are exempt.
set -u
cd "$(dirname "$0")/../core"
status=0
files=$(find . -name '*.go' ! -name '*_test.go' ! -path './peerpb/*')
bad() { printf 'core: %s\n%s\n' "$1" "$2"; status=1; }

found=$(grep -nE '^\s*(_ )?"(net|net/[a-z]+|os|os/[a-z]+|syscall|io/fs|sync|sync/[a-z]+|runtime|log|log/slog)"$' $files) && bad "forbidden import" "$found"
found=$(grep -nE 'time\.(Now|Since|Until|Sleep|After|AfterFunc|Tick|NewTimer|NewTicker)\(' $files) && bad "reads a clock" "$found"
found=$(grep -nE '^\s*go (func|[a-zA-Z_.]+\()' $files) && bad "starts a goroutine" "$found"
found=$(grep -nE '\brand\.(Int|IntN|Int64|Int64N|Uint32|Uint64|UintN|Float32|Float64|Perm|Shuffle|NormFloat64|N)\(' $files) && bad "global random source" "$found"
[ $status -eq 0 ] && echo "core is pure"
exit $status
