#!/bin/bash
# Plays runners of a stage that spoil a few answers by a line break. TROUBLE=0 plays the same without that.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2/standin2 ] && [ -x target/godwitplankd ] || exit 2
exec target/review2/standin2 handle-break review/6/record.txt
