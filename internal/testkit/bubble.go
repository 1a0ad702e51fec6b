package testkit

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
)

// Bubble runs f in a synctest bubble of its own and passes on its panic, by
// which rapid ends a failed check. Use it inside rapid.Check:
//
//	rapid.Check(t, func(r *rapid.T) {
//		testkit.Bubble(t, func() { ... })
//	})
//
// One bubble around the whole rapid.Check would share its virtual time among
// all checks: rapid gives up after 24 h by its clock and then passes with the
// few checks it made. All goroutines that f starts must have ended when it
// returns or panics, and it must not use the context of t or of rapid's T: that
// belongs outside of the bubble.
func Bubble(t *testing.T, f func()) {
	t.Helper()
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		f()
	})
	if failure == nil {
		return
	}
	// rapid tells failures apart by the line of their panic. A run that drew
	// past its data is none, so it has to panic on a line of its own.
	if strings.HasSuffix(fmt.Sprintf("%T", failure), "invalidData") {
		panic(failure)
	}
	panic(failure)
}
