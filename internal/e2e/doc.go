// Package e2e tests the programs as separate processes with real sockets and
// signals, for what cannot be tested otherwise: planned stops under load, killed
// and frozen processes, reclaims of whole failure domains.
//
// The tests check what callers received and what upstreams executed, never how
// long something took. They have the build tag e2e and are not run together with
// other tests (`make e2e`), since their processes need all cores.
package e2e
