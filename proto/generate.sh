#!/usr/bin/env bash
# Regenerates internal/jywire from the schema; the build does not need it.
# It needs protoc, protoc-gen-go and protoc-gen-connect-go.
set -eu
cd "$(dirname "$0")/.."
module=github.com/jackdawyard/jackdawyard
protoc -I proto --go_out=. --go_opt=module=$module \
  --connect-go_out=. --connect-go_opt=module=$module,simple=false proto/peer.proto
