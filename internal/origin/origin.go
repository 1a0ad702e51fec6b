// Package origin finds out which software began a stream that a caller takes up with a new attempt.
//
// Upstreams of several software versions may serve a service side by side, and the events of two
// versions don't fit together. What is known of a stream decides where it may go on; a stream of which
// nothing is known goes nowhere, unless only one version can have begun it.
package origin

import "github.com/goldcrestspool/goldcrestspool/internal/ident"

// Stream identifies a stream by the attempt of its caller that brought its first event.
type Stream struct {
	Account ident.ClientAccount
	Attempt ident.Request
}

// maxAttemptBytes bounds the attempts' IDs that are remembered. Callers choose them.
const maxAttemptBytes = 128

// isNamed reports whether the stream has a name by which it is remembered.
func (s Stream) isNamed() bool { return s.Attempt != "" && len(s.Attempt) <= maxAttemptBytes }

// Origin is the software that made a stream's events. No other may add events to it.
type Origin struct {
	Service         ident.Service
	SoftwareVersion ident.SoftwareVersion
}
