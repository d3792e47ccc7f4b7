#!/usr/bin/env bash
# Writes the generated code again after a .proto file changed. Needs protoc,
# protoc-gen-go and protoc-gen-twirp; a build needs none of them.
set -euo pipefail
cd "$(dirname "$0")"
protoc --go_out=. --go_opt=module=greengageferry record/record.proto
protoc --go_out=. --go_opt=module=greengageferry --twirp_out=. --twirp_opt=module=greengageferry peer/peer.proto
protoc --go_out=. --go_opt=module=greengageferry --twirp_out=. --twirp_opt=module=greengageferry exchange/exchange.proto
