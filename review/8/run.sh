#!/usr/bin/env bash
# One part of prompts crashes the last stage of each chain as that begins to write an answer on it.
# Exits with 1 if too many requests with it reach engines, 0 if not, 2 if the case could not run. TROUBLE=0: no such part.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/oriole-router ] && [ -x target/review-2/standin ] || exit 2
exec target/review-2/standin deadly "$here"
