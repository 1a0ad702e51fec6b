package httpconn

import (
	"io"

	pkgerrors "github.com/pkg/errors"

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
	body, err := io.ReadAll(io.LimitReader(answer, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, pkgerrors.Wrapf(ErrTooLong, "over %d bytes", limit)
	}
	if end := answer.End(content); end.Verdict() != completion.Complete {
		return nil, pkgerrors.Wrapf(ErrIncomplete, "%s: framing %s, ended by %s", end.Verdict(), end.Framing, end.Ending)
	}
	return body, nil
}
