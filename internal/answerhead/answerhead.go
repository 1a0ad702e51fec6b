// Package answerhead decides whether what net/http has read is the head of an answer in HTTP.
//
// net/http reads heads that HTTP does not allow, and whoever believes them delivers what no upstream answered. A head
// is checked before anything that it says is used.
package answerhead

import (
	"net/http"

	"github.com/pkg/errors"
)

// ErrInvalid is the error of what is no head of an answer.
var ErrInvalid = errors.New("not a valid answer")

// IsInterim reports whether an answer with this status is followed by another one to the same request.
func IsInterim(status int) bool { return status >= 100 && status < 200 }

// Check returns an error that wraps ErrInvalid unless the response's head is that of an answer, interim or final, to a
// request that asked for no other protocol.
func Check(response *http.Response) error { return checkStatus(response.StatusCode) }

// checkStatus checks that HTTP has the status: 100 to 599, as RFC 9110 says in section 15. net/http takes any three
// characters that are a number, and its servers write none below 100.
func checkStatus(status int) error {
	switch {
	case status < 100 || status > 599:
		return errors.Wrapf(ErrInvalid, "status %03d", status)
	case status == http.StatusSwitchingProtocols:
		return errors.Wrap(ErrInvalid, "another protocol follows, which nobody asked for")
	}
	return nil
}
