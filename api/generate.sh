#!/bin/sh
# Generates the Go code of api/ again. Needs protoc with the plugins
# protoc-gen-go, protoc-gen-connect-go and protoc-gen-go-grpc; the build
# needs none of them, since what they make is committed.
set -eu
cd "$(dirname "$0")"
opts="-I proto --go_out=. --go_opt=module=maststage.dev/api"
protoc $opts --connect-go_out=. --connect-go_opt=module=maststage.dev/api \
	proto/maststage/v1/maststage.proto proto/platform/v1/platform.proto
protoc $opts --go-grpc_out=. --go-grpc_opt=module=maststage.dev/api \
	proto/peer/v1/peer.proto
