package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
)

const (
	// poisonTopic holds, by its name, what each gateway that writes it knows of poison requests.
	poisonTopic = "keyed.poison"
	// poisonSyncInterval is how often it is checked whether a write or a read is due.
	poisonSyncInterval = gossip.Interval
	// poisonFollowTime is how long a read waits for a record: an open connection may have gone silent.
	poisonFollowTime = 2 * time.Second
	// knownGatewaysPeriod is for how long at least the most gateways that were known count as the fleet: those that are
	// cut off go on serving.
	knownGatewaysPeriod = time.Hour
)

// poisonStore exchanges what gateways know of poison requests through the platform's store with those that this one does
// not hear.
type poisonStore struct {
	self     ident.Instance
	store    platform.KeyedLog
	tracker  *poison.Tracker
	sync     *poison.StoreSync
	now      boottime.Clock
	trueTime func() time.Time
	log      hclog.Logger
	// rank returns this gateway's rank among those that it hears, heard how many it hears and known how many there are.
	rank  func() int
	heard func() int
	known func() int

	// mostKnown and mostKnownBefore are the most gateways that were known in this period and in the one before.
	mostKnown, mostKnownBefore int
	periodBegan                time.Time
	// reading: the topic was listed, and is known up to next.
	reading        bool
	next           ident.Position
	loggedUnusable onceByKey
}

func (p *Process) newPoisonStore() *poisonStore {
	return &poisonStore{
		self: p.settings.Instance.ID, store: p.ports.Store, tracker: p.poison, sync: poison.NewStoreSync(p.poison), now: p.now, trueTime: p.trueTime, log: p.log.Named("poison"),
		rank: p.storeRank, heard: func() int { return p.view.Load().Heard }, known: func() int { return p.gatewayCount() - 1 },
	}
}

// run writes and reads until ctx ends.
func (s *poisonStore) run(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		whole := s.hearsAll()
		err := s.write(ctx, whole)
		if err == nil {
			err = s.read(ctx, whole)
		}
		if err == nil {
			if failures > 0 {
				s.log.Info("poison requests exchanged through the store again", "failures", failures)
			}
			failures = 0
			sleep.For(ctx, poisonSyncInterval)
			continue
		}
		if failures == 0 && ctx.Err() == nil {
			s.log.Info("poison requests not exchanged through the store", "error", err)
		}
		sleep.For(ctx, draw(rand.N[time.Duration]).retryPause(failures, maxRetryPause))
		failures++
	}
}

// hearsAll reports whether this gateway hears as many others as there were lately.
func (s *poisonStore) hearsAll() bool {
	now, known := s.now(), s.known()
	if now.Sub(s.periodBegan) >= knownGatewaysPeriod {
		s.mostKnown, s.mostKnownBefore, s.periodBegan = known, s.mostKnown, now
	}
	s.mostKnown = max(s.mostKnown, known)
	return s.heard() >= max(s.mostKnown, s.mostKnownBefore)
}

func (s *poisonStore) write(ctx context.Context, whole bool) error {
	report, due := s.sync.NextWrite(s.rank(), whole, s.now())
	if !due {
		return nil
	}
	data, err := gossip.EncodePoison(report, s.trueTime())
	if err != nil {
		return err
	}
	at, err := s.store.Put(ctx, poisonTopic, string(s.self), data, nil)
	if err != nil {
		s.sync.WriteFailed()
		return errors.WithMessage(err, "write")
	}
	s.log.Info("poison requests written to the store", "at", at, "crashes", len(report.Crashes), "doubts", len(report.Doubts), "verdicts", len(report.Verdicts), "hears_all", whole)
	return nil
}

// read lists the topic, or follows it once it was listed.
func (s *poisonStore) read(ctx context.Context, whole bool) error {
	if !s.sync.Reads(s.rank(), whole) {
		s.reading = false
		return nil
	}
	if !s.reading {
		batch, err := s.store.Newest(ctx, poisonTopic, nil)
		if err != nil {
			return errors.WithMessage(err, "list")
		}
		s.reading, s.next = true, batch.End
		s.apply(batch.Records, true)
		return nil
	}
	batch, err := s.store.Follow(ctx, poisonTopic, s.next, poisonFollowTime)
	switch {
	case errors.Is(err, platform.ErrEraChanged), errors.Is(err, platform.ErrExpired):
		s.reading = false
		return nil
	case err != nil:
		return errors.WithMessage(err, "follow")
	}
	s.apply(batch.Records, false)
	if n := len(batch.Records); n > 0 {
		s.next = batch.Records[n-1].At.Next()
	}
	return nil
}

// apply merges the records of other gateways. listed: they may have been written long ago.
func (s *poisonStore) apply(records []platform.KeyedRecord, listed bool) {
	for _, record := range records {
		if record.Key == string(s.self) || record.Unreadable == nil && record.Value == nil {
			continue
		}
		err := record.Unreadable
		var report poison.Report
		var writtenAt time.Time
		if err == nil {
			report, writtenAt, err = gossip.DecodePoison(record.Value)
		}
		if err != nil {
			if s.loggedUnusable.firstTime(record.Key) {
				s.log.Error("poison requests in the store not usable", "gateway", record.Key, "position", record.At, "error", err)
			}
			continue
		}
		age := time.Duration(0)
		if listed {
			age = max(0, s.trueTime().Sub(writtenAt))
		}
		s.tracker.MergeStored(report.Aged(age))
		s.log.Info("poison requests read from the store", "gateway", record.Key, "at", record.At, "age_ms", age.Milliseconds(), "crashes", len(report.Crashes), "doubts", len(report.Doubts),
			"verdicts", len(report.Verdicts))
	}
}
