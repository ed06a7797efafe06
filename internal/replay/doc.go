// Package replay plays seeded load patterns against the decisions of admit and
// against baselines, with a small model of engines and several routers whose
// views of each other are delayed. It runs in virtual time: a minute of load takes
// well under a second. It models engines and decisions only, no network, no
// processors and no faults of the store.
package replay
