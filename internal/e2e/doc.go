// Package e2e tests the programs as separate processes with real sockets and
// signals, for what only they can show: planned stops under load, killed and
// frozen processes, reclaims of whole failure domains.
//
// The tests assert what callers heard and what upstreams executed, never how
// long something took. They are built with the tag e2e and run by themselves
// (`make e2e`): their processes need the cores that other tests would take.
package e2e
