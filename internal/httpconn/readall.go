package httpconn

import (
	"io"

	pkgerrors "github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/completion"
)

// ErrTooLong is the error of a body that is longer than its reader allows.
var ErrTooLong = pkgerrors.New("the answer's body is too long")

// ErrNoFrame is the error of a body that has neither a length nor chunks although its content does not
// tell where it ends.
var ErrNoFrame = pkgerrors.New("the answer's body has neither a length nor chunks")

// ReadAll returns the whole body of an answer, limit bytes at most. It returns an error, and no
// body, if the answer is not known to be complete or is longer.
//
// The end of a body without length and chunks cannot be told from a connection that was broken off in
// an orderly way. Use ReadAll only for content that tells its own end, such as JSON; ReadFramed for
// other content.
func ReadAll(answer *Answer, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, pkgerrors.Wrapf(ErrTooLong, "over %d bytes", limit)
	}
	if end := answer.End(completion.NotAStream); end.Verdict() != completion.Complete {
		return nil, pkgerrors.Errorf("the answer ended by %s, framing %s", end.Ending, end.Framing)
	}
	return body, nil
}

// ReadFramed is ReadAll for content that does not tell its own end, such as a protocol buffer: cut after
// any of its fields, it is valid. It refuses a body that has neither a length nor chunks.
func ReadFramed(answer *Answer, limit int64) ([]byte, error) {
	if answer.Framing() == completion.ByClose {
		return nil, ErrNoFrame
	}
	return ReadAll(answer, limit)
}
