#!/bin/bash
exec "$(dirname "$0")/../play.sh" 3 all-killed
