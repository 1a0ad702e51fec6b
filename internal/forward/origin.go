package forward

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/origin"
)

// patienceFactor is the multiple of a route's timeout within which callers take up a stream that it
// began. Callers wait no longer than the timeout; an operator may have shortened it meanwhile.
const patienceFactor = 2

// takeUpTime returns how long a caller may take up a stream of the call's route.
func (c *Call) takeUpTime() time.Duration { return patienceFactor * c.Route.Timeout }

// stream returns the stream that the call begins or goes on with, as its caller names it afterwards.
func (c *Call) stream() origin.Stream {
	if c.TakesUp() {
		return origin.Stream{Account: c.Account, Attempt: c.Resumes}
	}
	return origin.Stream{Account: c.Account, Attempt: c.ID}
}

// question returns what is to be found out about the stream that the call goes on with.
func (c *Call) question() origin.Question {
	q := origin.Question{Stream: c.stream(), Within: c.takeUpTime()}
	for _, service := range c.Services {
		q.Services = append(q.Services, service.Name)
	}
	return q
}

// goOnWith makes the call one for the service that began its stream, if its route still goes there.
func (c *Call) goOnWith(o origin.Origin) {
	c.Origin = &o
	for _, service := range c.Services {
		if service.Name == o.Service {
			c.Service = service
		}
	}
}

// findOrigin finds out which software began the stream that the call goes on with, if it does, and
// reports whether the call may be sent. What is not known to fit is not joined.
func (s *session) findOrigin() bool {
	if !s.call.TakesUp() {
		return true
	}
	v := s.f.cfg.Origins.Find(s.ctx, s.call.question())
	s.f.cfg.Log.Info("stream taken up", "id", s.call.ID, "resumes", s.call.Resumes.ForLog(), "after_event", ident.Request(s.call.LastEventID).ForLog(), "account", s.call.Account,
		"source", v.Source.String(), "began_at", v.Origin.Service, "software_version", v.Origin.SoftwareVersion, "asked", v.Asked, "silent", v.Silent)
	if !v.Known() {
		s.reason, s.hopeless = "it is not known which software began the stream", !v.MayBecomeKnown()
		return false
	}
	s.call.goOnWith(v.Origin)
	return true
}

// mayBeOtherSoftware reports whether the first events of an attempt may come from other software than that
// of the chosen upstream, where that matters.
func (s *session) mayBeOtherSoftware(choice Choice) bool {
	return s.call.Route.Resumable && s.f.cfg.Placement.Replaced(choice)
}

// recordOrigin records which software made the events that the caller is given, if it may take the
// stream up.
func (s *session) recordOrigin(choice Choice) {
	if s.call.Origin == nil {
		s.call.Origin = &origin.Origin{Service: s.call.Service.Name, SoftwareVersion: choice.SoftwareVersion}
	}
	if s.call.Route.Resumable {
		s.f.cfg.Origins.Began(s.call.stream(), *s.call.Origin, len(s.call.Route.Targets) <= 1, s.call.takeUpTime())
	}
}
