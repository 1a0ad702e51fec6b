package forward

import (
	"errors"
	"net/http"

	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
)

// errWithdrawn keeps a request from being sent to an upstream that accepts none any more.
var errWithdrawn = errors.New("the upstream announced that it takes no requests")

// checkAccepts returns errWithdrawn if the chosen upstream accepts no requests from this gateway.
// While a connection was dialed, the answer to another request may have said so.
func (s *session) checkAccepts(choice Choice) error {
	if !s.f.cfg.Announcements.Accepts(choice.Upstream) {
		return errWithdrawn
	}
	return nil
}

// record records what the chosen upstream announces.
func (s *session) record(choice Choice, statement announced.Statement) {
	s.f.cfg.Announcements.Record(choice.Upstream, s.call.ID, statement)
}

// recordTrailer records what the trailer of an answer that was read to its end announces. An
// upstream that began to leave during a long answer can only say so there.
func (s *session) recordTrailer(choice Choice, answer *httpconn.Answer) {
	if trailer := answer.Trailer(); len(trailer) > 0 && answer.Relayed == nil {
		s.recordFields(choice, trailer)
	}
}

// recordFields records what an upstream announces in fields that are not the header of its answer
// to the call.
func (s *session) recordFields(choice Choice, fields http.Header) {
	s.record(choice, s.f.cfg.Dialect.ParseFields(fields))
}
