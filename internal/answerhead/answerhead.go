// Package answerhead decides whether what net/http has read is the head of an answer in HTTP.
//
// net/http reads heads that HTTP does not allow, and whoever believes them delivers what no upstream answered. A head
// is checked before anything that it says is used.
package answerhead

import (
	"bytes"
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid is the error of what is no head of an answer.
var ErrInvalid = errors.New("not a valid answer")

// IsInterim reports whether an answer with this status is followed by another one to the same request.
func IsInterim(status int) bool { return status >= 100 && status < 200 }

// Check returns an error that wraps ErrInvalid unless the response's head is that of an answer, interim or final, to a
// request that asked for no other protocol.
func Check(response *http.Response) error {
	if err := checkStatus(response.StatusCode); err != nil {
		return err
	}
	return CheckFields(response.Header)
}

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

// CheckFields returns an error that wraps ErrInvalid unless the names of a head's or a trailer's fields are tokens.
// net/http takes names with blanks, and drops their fields as it passes them on. What looks like the field that frames
// the body frames nothing then.
func CheckFields(fields map[string][]string) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrInvalid, "field name %.100q", name)
		}
	}
	return nil
}

// CheckText checks what net/http does not tell of the head that it has read from a text: whether lines go on with the
// field before, which HTTP allows no longer, and in HTTP/1.0, whether chunks are announced, which that version has not
// and net/http takes for content. What follows the head is not looked at.
func CheckText(text []byte, response *http.Response) error {
	const chunks = "transfer-encoding:"
	for line := range bytes.Lines(text) {
		switch {
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return nil // the head's end
		case line[0] == ' ' || line[0] == '\t':
			return errors.Wrapf(ErrInvalid, "line that begins with a blank: %.100q", line)
		case !response.ProtoAtLeast(1, 1) && len(line) >= len(chunks) && bytes.EqualFold(line[:len(chunks)], []byte(chunks)):
			return errors.Wrapf(ErrInvalid, "%.100q in %s", line, response.Proto)
		}
	}
	return nil
}
