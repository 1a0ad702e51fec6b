package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/finding"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// unchangingStore is a store in which nothing changes. A waiting read waits for its whole
// time, by moving the clock.
type unchangingStore struct {
	platform.KeyedLog
	now   *time.Time
	waits []time.Duration
	// end is the offset at which the log ends; 0 stands for 4.
	end uint64
}

func (s *unchangingStore) Newest(context.Context, string, func(platform.KeyedBatch)) (platform.KeyedBatch, error) {
	return platform.KeyedBatch{Records: []platform.KeyedRecord{{Key: "config", At: ident.NewPosition(0, 3), Value: []byte("x")}}, End: ident.NewPosition(0, 4)}, nil
}

func (s *unchangingStore) Follow(_ context.Context, _ string, _ ident.Position, wait time.Duration) (platform.KeyedBatch, error) {
	s.waits = append(s.waits, wait)
	*s.now = s.now.Add(wait)
	if s.end > 0 {
		return platform.KeyedBatch{End: ident.NewPosition(0, s.end)}, nil
	}
	return platform.KeyedBatch{End: ident.NewPosition(0, 4)}, nil
}

// configFixture is a configFollower with a fake clock, rank and store.
type configFixture struct {
	now   time.Time
	rank  int
	store *unchangingStore
	*configFollower
}

const changeDue = 2 * time.Second

func newConfigFixture(t *testing.T, rank int) *configFixture {
	s := &configFixture{now: time.Unix(1000, 0), rank: rank}
	s.store = &unchangingStore{now: &s.now}
	ports := Ports{
		Store: s.store, Eras: platform.NewEras(), ConfigTopic: "operators", ConfigKey: "config",
		DecodeConfig: func(string, []byte) (*routetable.Table, finding.List) {
			return routetable.New(routetable.Spec{Revision: 7}), nil
		},
	}
	s.configFollower = newConfigFollower(ports, newBoard(), nil, func() time.Time { return s.now }, func() int { return s.rank }, changeDue, hclog.NewNullLogger())
	if err := s.read(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	return s
}

// follow runs the follower for d. Another gateway's confirmation arrives every so often, with
// the given age; none arrives if every is 0.
func (s *configFixture) follow(t *testing.T, d, every, age time.Duration) {
	t.Helper()
	next := s.now
	for end := s.now.Add(d); s.now.Before(end); {
		if !s.now.Before(next) && every > 0 {
			s.confirmFromPeer(7, s.now.Add(-age))
			next = s.now.Add(every)
		}
		wait, idle := s.nextRead()
		if idle > 0 {
			s.now = s.now.Add(min(max(idle, minPollInterval), maxPollInterval))
			continue
		}
		if err := s.read(t.Context(), wait); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a waiting read of the configuration at each gateway, which was half of the
// store's calls.
func TestGatewaysBehindTheFirstLeaveTheStoreAlone(t *testing.T) {
	s := newConfigFixture(t, waitingReaders)
	s.follow(t, time.Minute, 250*time.Millisecond, 900*time.Millisecond)
	if n := len(s.store.waits); n != 0 {
		t.Errorf("%d reads while others confirm the configuration", n)
	}
}

func TestTheFirstGatewaysAlwaysWaitAtTheStore(t *testing.T) {
	s := newConfigFixture(t, waitingReaders-1)
	s.follow(t, 8*time.Second, 0, 0)
	if n := len(s.store.waits); n != 10 {
		t.Errorf("%d reads in 8 s", n)
	}
	if _, age := s.state(); age > 0 {
		t.Errorf("confirmed %v ago after a read that waited", age)
	}
}

// Guards against a change that comes into force too late because a gateway waits for the
// others' confirmations, while the first gateways have lost the store or this one has lost
// the others.
func TestAGatewayWithoutConfirmationsAsksTheStore(t *testing.T) {
	s := newConfigFixture(t, waitingReaders)
	from := s.now
	s.follow(t, changeDue, 0, 0)
	if len(s.store.waits) != 1 || s.store.waits[0] != 0 {
		t.Errorf("reads that wait for %v within %v", s.store.waits, s.now.Sub(from))
	}
	// Confirmations that are too old when they arrive do not count.
	s.store.waits = nil
	s.follow(t, 10*changeDue, 250*time.Millisecond, changeDue)
	if len(s.store.waits) < 10 {
		t.Errorf("%d reads in %v", len(s.store.waits), 10*changeDue)
	}
}

// Guards against a gateway that keeps an old configuration and considers it the newest
// because another gateway confirmed a newer revision.
func TestAReportOfANewerRevisionConfirmsNothing(t *testing.T) {
	s := newConfigFixture(t, waitingReaders)
	s.now = s.now.Add(time.Second)
	s.confirmFromPeer(8, s.now)
	if _, age := s.state(); age != time.Second {
		t.Errorf("confirmed %v ago", age)
	}
	if s.needsFetch() {
		t.Error("asks others before the store had time to deliver it")
	}
	// Otherwise hundreds of gateways would ask the store for each change before the others'
	// next answers, which contain it.
	if _, idle := s.nextRead(); idle == 0 {
		t.Error("asks the store before the others had time to send it")
	}
	// Otherwise a change would arrive half a second later than the store could deliver it.
	s.now = s.now.Add(peerHeadStart)
	if _, idle := s.nextRead(); idle > 0 {
		t.Error("does not ask the store")
	}
	if err := s.read(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	if _, idle := s.nextRead(); idle == 0 {
		t.Error("asks the store again at once")
	}
	s.now = s.now.Add(storeHeadStart)
	if !s.needsFetch() {
		t.Error("does not ask others")
	}
}

// Guards against a gateway that takes the end of a log which has become shorter, in a store that names no eras, for
// the store's word that nothing is newer than what it has read.
func TestALowerEndConfirmsNothing(t *testing.T) {
	s := newConfigFixture(t, 0)
	s.now = s.now.Add(time.Second)
	s.store.end = 2
	if err := s.read(t.Context(), 0); !errors.Is(err, errWentBack) {
		t.Errorf("error %v", err)
	}
	if _, age := s.state(); age < time.Second {
		t.Errorf("confirmed %v ago", age)
	}
	if s.listed {
		t.Error("it reads on at an offset that means another record")
	}
}

// newPlayFollower returns a configFollower of rank 0 that reads from a playStore.
func newPlayFollower(store *playStore) *configFollower {
	eras := platform.NewEras()
	client := &playClient{store: store, eras: eras, cut: func() bool { return false }}
	ports := Ports{Store: client, Eras: eras, ConfigTopic: "op", ConfigKey: "config", DecodeConfig: decodePlayConfig}
	return newConfigFollower(ports, newBoard(), nil, time.Now, func() int { return 0 }, changeDue, hclog.NewNullLogger())
}

// Guards against a change that waits for the end of a read which had begun before the store came back from an older
// copy, at an offset that the log reaches only later.
func TestAWaitingReadEndsInANewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newPlayStore()
		store.write("op", "config", []byte("1"))
		c := newPlayFollower(store)
		if err := c.read(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(100*time.Millisecond, func() {
			store.restore(time.Now().Add(-time.Second))
			store.write("op", "config", []byte("2"))
			c.ports.Eras.Observe(2) // as another read or gateway tells it
		})
		began := time.Now()
		for c.current.Revision < 2 && time.Since(began) < 10*time.Second {
			if err := c.read(t.Context(), 5*time.Second); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Errorf("in force after %v", took)
		}
	})
}

// Guards against gateways that all list a store which is back, as the one that reads for them waits out the pause after
// its last failure, though they have told it that the store answers.
func TestAPauseAfterFailuresEndsInANewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newPlayStore()
		store.write("op", "config", []byte("1"))
		c := newPlayFollower(store)
		c.health.draw = func(below time.Duration) time.Duration { return below - 1 } // the longest pauses
		ctx, cancel := context.WithCancel(t.Context())
		go c.run(ctx)
		time.Sleep(time.Second)
		store.setAway(true)
		time.Sleep(10 * time.Second)
		for failures := c.health.failures.Load(); c.health.failures.Load() == failures; {
			time.Sleep(time.Millisecond)
		}
		store.restore(time.Now().Add(-time.Second))
		store.write("op", "config", []byte("2"))
		store.setAway(false)
		c.ports.Eras.Observe(2)
		time.Sleep(2 * playDelay)
		if revision, _ := c.state(); revision != 2 {
			t.Errorf("revision %d is in force", revision)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a gateway that takes an older configuration for the newest because one that has not heard of the
// store's new era says so, or one of an earlier build, which knows no eras.
func TestReportsOfAnEarlierEraConfirmNothing(t *testing.T) {
	for _, era := range []ident.Era{0, 1, 2} {
		s := newConfigFixture(t, waitingReaders)
		upstreams := newUpstreamsFollower(Ports{}, newBoard(), announced.NewRegistry(announced.Config{Now: time.Now}), nil, func(time.Time) {}, noConnections{}, func() time.Time { return s.now }, func() int { return 2 }, changeDue, time.Second, hclog.NewNullLogger())
		s.ports.Eras.Observe(2)
		s.now = s.now.Add(time.Second)
		applyStoreReport(s.ports.Eras, s.configFollower, upstreams, &gossip.Report{StoreEra: era, Revision: 7}, s.now)
		if _, age := s.state(); (age == 0) != (era == 2) {
			t.Errorf("after a report of era %d confirmed %v ago", era, age)
		}
	}
}
