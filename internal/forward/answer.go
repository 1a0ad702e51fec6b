package forward

import (
	"errors"
	"io"
	"net/http"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/eventstream"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// readAnswer reads an answer whose header was received.
func (s *session) readAnswer(choice Choice, answer *httpconn.Answer, silence *silenceTimer) Result {
	info := s.f.cfg.Dialect.ParseAnswer(answer.Status, answer.Header)
	if !info.FromOtherUpstream && answer.Relayed == nil {
		// What a relayed answer announces was said to the relaying gateway, which records it.
		s.record(choice, info.Announced)
	}
	s.f.cfg.Dialect.RemoveAnnouncements(answer.Header)
	if info.NotRun {
		s.reason = "status " + http.StatusText(answer.Status)
		s.drainRejection(answer)
		s.ended.End = answer.End(completion.NotAStream)
		if info.FromOtherUpstream || s.f.cfg.Announcements.Accepts(choice.Upstream) {
			return Rejected
		}
		return Declined
	}
	// Any other answer means that the request began to run, whether or not it is delivered.
	s.countForUsage()
	if answer.Status/100 == 2 && info.Stream && s.call.Route.Kind == routetable.Streaming {
		return s.readStream(choice, answer, info, silence)
	}
	if s.answerBegan {
		// The rest of a stream was requested, but the answer is no stream.
		s.reason = "status " + http.StatusText(answer.Status) + " instead of the stream's rest"
		return Cut
	}
	return s.readWhole(choice, answer, info, silence)
}

// drainRejection reads the rest of a rejection, so that its connection can be reused.
func (s *session) drainRejection(answer *httpconn.Answer) {
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, maxBufferedBytes)); err != nil {
		s.f.cfg.Log.Debug("cannot read the rest of a rejection", "id", s.call.ID, "error", err)
	}
}

// readWhole reads a complete answer before any of it is delivered, so that after an
// answer that breaks off the request can still be sent to another upstream.
func (s *session) readWhole(choice Choice, answer *httpconn.Answer, info AnswerInfo, silence *silenceTimer) Result {
	body, err := answer.ReadBody(maxBufferedBytes)
	silence.stop()
	s.noRoom = errors.Is(err, answerbudget.ErrNoRoom)
	s.ended.End = answer.End(positionIn(body, info))
	s.doubtEnd(choice, answer)
	if errors.Is(err, httpconn.ErrTooLong) {
		s.reason = "the answer is too long to be held"
		return Broken
	}
	if s.ended.Verdict() != completion.Complete {
		s.reason = s.whyIncomplete(err)
		return s.callEndedOr(Broken)
	}
	s.recordTrailer(choice, answer)
	if !info.Signed && answer.Status/100 == 2 {
		s.reason = "a success without the upstream's signature"
		return Broken
	}
	whole := &bufferedAnswer{status: answer.Status, saysNotRun: info.SaysNotRun, header: answer.Header, body: body, share: answer.Keep()}
	if answer.Status >= http.StatusInternalServerError || answer.Status/100 != 2 && !info.Signed {
		s.buffer(whole)
		s.reason = "status " + http.StatusText(answer.Status)
		return Failed
	}
	s.f.cfg.Placement.FirstEventArrived(choice, s.f.cfg.Now())
	s.buffer(whole)
	return Done
}

// buffer holds a whole answer, in place of the one that is held.
func (s *session) buffer(whole *bufferedAnswer) {
	s.dropBuffered()
	s.buffered = whole
}

// dropBuffered gives back what the answer that is held makes the process hold.
func (s *session) dropBuffered() {
	if s.buffered != nil {
		s.buffered.share.End()
	}
}

// positionIn returns where in its content an answer ended whose whole body was received.
func positionIn(body []byte, info AnswerInfo) completion.Position {
	if !info.Stream {
		return completion.NotAStream
	}
	var scanner eventstream.Scanner
	scanner.Add(body)
	return scanner.Position()
}

// whyIncomplete returns why the last answer is not taken for complete; err is how its reading
// ended.
func (s *session) whyIncomplete(err error) string {
	if err != nil && err != io.EOF {
		return err.Error()
	}
	if s.ended.Process == completion.EndedUnexpectedly {
		return "the upstream's process ended with the answer, " + s.ended.Position.String()
	}
	return "the answer ended " + s.ended.Position.String() + " by " + s.ended.Ending.String()
}
