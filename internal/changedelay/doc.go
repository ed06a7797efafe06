// Package changedelay measures, from the logs of a fleet's routers, how long each version of the
// configuration took to be in force at all of them.
package changedelay
