package testkit

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
)

// Bubble runs f in a synctest bubble of its own. A panic of f, by which rapid ends a
// failed check, becomes a panic of Bubble. Use it inside rapid.Check:
//
//	rapid.Check(t, func(r *rapid.T) {
//		testkit.Bubble(t, func() { ... })
//	})
//
// With one bubble around the whole rapid.Check, all checks would share one virtual
// time: rapid stops after 24 h by that time, and then passes with the few checks it has
// made. All goroutines that f starts must have ended when it returns or panics. f must
// not use the context of t or of rapid's T, because they belong outside the bubble.
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
	// rapid tells failures apart by the line of their panic. A run that has drawn
	// all of its data panics too, but is not a failure, so that its panic needs a
	// line of its own.
	if strings.HasSuffix(fmt.Sprintf("%T", failure), "invalidData") {
		panic(failure)
	}
	panic(failure)
}
