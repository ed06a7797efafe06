#!/bin/bash
exec "$(dirname "$0")/../play.sh" 2 watches-cut
