#!/bin/sh
# Builds the stand-ins that the scripts start. They are behind a build tag, so that neither the
# build nor the tests of the project take them in.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/lab ./review/lab
