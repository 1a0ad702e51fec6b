package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// incomplete returns the successes that look complete to their clients and lack events.
func incomplete(answers []answer, bids bool) (broken []string, served int) {
	for _, a := range answers {
		if a.status != 200 || !a.complete {
			continue
		}
		served++
		if bids && a.bytes != bidBytes {
			broken = append(broken, fmt.Sprintf("%s by %s: status 200, signature %s, complete for its client, with %d of the %d bytes of its runner's answer", a.id, a.entry, a.signature, a.bytes, bidBytes))
		}
		if !bids && a.events != eventsOut {
			broken = append(broken, fmt.Sprintf("%s by %s: status 200, signature %s, complete for its client, with %d of the %d events of its runner", a.id, a.entry, a.signature, a.events, eventsOut))
		}
	}
	return broken, served
}

// firstUnframed waits until a live runner begins an answer without a length.
func (s *system) firstUnframed(end time.Time) *runner {
	for time.Now().Before(end) {
		s.mu.Lock()
		runners := make([]*runner, 0, len(s.runners))
		for _, r := range s.runners {
			runners = append(runners, r)
		}
		s.mu.Unlock()
		for _, r := range runners {
			for more := true; more; {
				select {
				case <-r.ended:
					more = false
				case line := <-r.said:
					if strings.HasSuffix(line, " unframed") && r.state == "ready" {
						return r
					}
				default:
					more = false
				}
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// downTime is how long a runner is missing: the site's largest share of runners that crash, a quarter, is
// down for 2 s.
const downTime = 2 * time.Second

// playKilledRunner kills one of the application's four runners at a time, while it answers a
// request without a length, and starts another downTime later.
func playKilledRunner(s *system, trouble bool) ([]string, error) {
	l := s.startLoad(bidsPerSecond, true)
	end := time.Now().Add(playTime)
	kills := 0
	for trouble {
		r := s.firstUnframed(end)
		if r == nil {
			break
		}
		time.Sleep(longBidWork / 2)
		s.note("kill of runner %s (SIGKILL)", r.id)
		if err := r.command.Process.Signal(syscall.SIGKILL); err != nil {
			return nil, err
		}
		kills++
		<-r.ended
		time.Sleep(downTime)
		if _, err := s.startRunner(r.service, r.zone); err != nil {
			return nil, err
		}
		time.Sleep(2 * time.Second)
		s.forgetSaid()
	}
	time.Sleep(time.Until(end))
	answers := l.stop()
	broken, served := incomplete(answers, true)
	s.note("%d requests, %d complete successes, %d kills, %d complete with a part missing", len(answers), served, kills, len(broken))
	if served < len(answers)/2 {
		return nil, fmt.Errorf("only %d of %d requests were served", served, len(answers))
	}
	return broken, nil
}

const (
	// bidsPerSecond and streamsPerSecond are how many requests are sent a second; at its usual traffic
	// the sheet has 14.6 bids, and 58 requests of models.
	bidsPerSecond, streamsPerSecond = 14, 10
	playTime                        = 80 * time.Second
	// noticeMs is the time between a reclaim's notice and its runners' end.
	noticeMs = 2500
)

// playReclaimedRunner takes the model runners of one zone away, 2.5 s after they reported that they
// leave; others come 4 s later.
func playReclaimedRunner(s *system, trouble bool) ([]string, error) {
	l := s.startLoad(streamsPerSecond, false)
	end := time.Now().Add(playTime)
	reclaims := 0
	for n := 0; trouble && time.Until(end) > 10*time.Second; n++ {
		time.Sleep(2 * time.Second)
		zone := fmt.Sprintf("hall-%c", 'a'+n%entryCount)
		leaving := s.inZone(zone)
		for _, r := range leaving {
			s.mu.Lock()
			r.state, r.leavesMs = "draining", noticeMs
			s.mu.Unlock()
			s.register(r)
			s.note("runner %s reports that it leaves in %d ms", r.id, noticeMs)
		}
		time.Sleep(noticeMs * time.Millisecond)
		for _, r := range leaving {
			s.note("runner %s ends", r.id)
			if err := r.command.Process.Signal(syscall.SIGKILL); err != nil {
				return nil, err
			}
			<-r.ended
			s.remove(r)
		}
		reclaims++
		time.Sleep(4 * time.Second)
		for range leaving {
			if _, err := s.startRunner(models, zone); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(time.Until(end))
	answers := l.stop()
	broken, served := incomplete(answers, false)
	s.note("%d requests, %d complete successes, %d reclaims, %d complete with events missing", len(answers), served, reclaims, len(broken))
	if served < len(answers)/2 {
		return nil, fmt.Errorf("only %d of %d requests were served", served, len(answers))
	}
	return broken, nil
}

// inZone returns the model runners of a zone.
func (s *system) inZone(zone string) []*runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	var runners []*runner
	for _, r := range s.runners {
		if r.zone == zone && r.service == models {
			runners = append(runners, r)
		}
	}
	return runners
}

// forgetSaid drops what runners have said so far.
func (s *system) forgetSaid() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runners {
		for len(r.said) > 0 {
			<-r.said
		}
	}
}
