#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
# TROUBLE=0 no answer is broken off.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-stand2 run 8 review/8 target/chestnutstream
