// Package replay simulates seeded load patterns with the admission decisions of
// package admit and with baseline policies. It models engines and several routers
// that receive each other's load reports with a delay. The simulation runs in
// virtual time: a minute of load takes well under a second. It covers engines and
// decisions only, without network, CPU time or failures of the store.
package replay
