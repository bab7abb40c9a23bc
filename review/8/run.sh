#!/bin/sh
# Runs the driver of this case. Exit code: 1 broken, 0 held, 2 it could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/chivespindled ] && [ -x target/review-2/seedsdown ] || exit 2
exec target/review-2/seedsdown "$here"
