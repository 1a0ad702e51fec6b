package httpconn

import (
	"io"
	"net/http"

	pkgerrors "github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/completion"
)

// ErrIncomplete is the error of a body that is not known to be complete.
var ErrIncomplete = pkgerrors.New("the answer is not known to be complete")

// ErrTooLong is the error of a body that is longer than its reader allows.
var ErrTooLong = pkgerrors.New("the answer's body is too long")

// ReadAll returns the whole body of an answer, limit bytes at most. It returns an error, and no
// body, if the answer is not known to be complete or is longer. content is NotAStream if the content
// tells its own end, such as JSON or records after their lengths, and otherwise Undelimited.
func ReadAll(answer *Answer, content completion.Position, limit int64) ([]byte, error) {
	body, err := answer.ReadBody(limit)
	if err != nil {
		return nil, err
	}
	if end := answer.End(content); end.Verdict() != completion.Complete {
		return nil, pkgerrors.Wrapf(ErrIncomplete, "%s: framing %s, ended by %s", end.Verdict(), end.Framing, end.Ending)
	}
	return body, nil
}

const (
	// firstRoom is the first room for a body of unknown length, which becomes moreRoom times as large whenever it is full.
	firstRoom = 4 << 10
	moreRoom  = 2
)

// ReadBody reads the body to its end, and reserves the room for it before it is taken. If the body is longer than limit
// the error is ErrTooLong; others are those of Read and of answerbudget.Share.Reserve. With an error it returns what was
// read. The end may still be no complete one; see Read.
func (a *Answer) ReadBody(limit int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := a.grow(body, limit)
			if err != nil {
				return body, err
			}
			body = grown
		}
		n, err := a.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return body, pkgerrors.Wrapf(ErrTooLong, "over %d bytes", limit)
		case err == io.EOF:
			return body, a.share.Settle(a.headBytes + int64(cap(body)))
		case err != nil:
			return body, err
		}
	}
}

// grow returns a body with more room: for one byte more than it can have, so that its end is read.
func (a *Answer) grow(body []byte, limit int64) ([]byte, error) {
	before := int64(cap(body))
	room := min(max(moreRoom*before, firstRoom), limit+1)
	if length := a.length(); length > limit {
		return nil, pkgerrors.Wrapf(ErrTooLong, "%d bytes announced, over %d", length, limit)
	} else if length >= 0 {
		room = length + 1
	}
	if err := a.Hold(room + before); err != nil { // old and new room are held while the bytes are copied
		return nil, err
	}
	grown := make([]byte, len(body), room)
	copy(grown, body)
	return grown, nil
}

// length returns the body's length, or a negative number if it is not known.
func (a *Answer) length() int64 {
	if a.response.Body == http.NoBody {
		return 0
	}
	return a.response.ContentLength
}

// Hold reserves room for so many bytes of the content that its reader holds. The errors are those of
// answerbudget.Share.Reserve.
func (a *Answer) Hold(bytes int64) error { return a.share.Reserve(a.ctx, a.headBytes+bytes) }

// Drop gives back what was reserved beyond so many bytes of the content.
func (a *Answer) Drop(bytes int64) { a.share.Shrink(a.headBytes + bytes) }

// Share returns what the answer makes the process hold. Close ends it, unless Keep was called.
func (a *Answer) Share() *answerbudget.Share { return a.share }

// Keep returns the share of an answer that is held after Close. The caller ends it.
func (a *Answer) Keep() *answerbudget.Share {
	share := a.share
	a.share = nil
	return share
}
