package rollout

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Topic is the keyed log with one record per service: the outcome of its newest order. A write
// succeeds only if nothing was written since the last read, so that a holder that was paused
// cannot contradict its successor.
const Topic = "keyed.rollouts"

// Record is the stored outcome of an order.
type Record struct {
	Order ident.Position
	To    ident.SoftwareVersion
	// Outcome is Canary until the order ends.
	Outcome Phase
	// OrderedMillis is when the order was given, in milliseconds of true time since 1970.
	OrderedMillis int64
}

// wireRecord is a Record as it is stored. Earlier builds know no era.
type wireRecord struct {
	Order         uint64                `json:"order"`
	Era           uint64                `json:"order_era,omitempty"`
	To            ident.SoftwareVersion `json:"to"`
	Outcome       Phase                 `json:"outcome"`
	OrderedMillis int64                 `json:"ordered_ms"`
}

// MarshalJSON implements json.Marshaler.
func (r Record) MarshalJSON() ([]byte, error) {
	era, offset, _ := r.Order.Parts()
	return json.Marshal(wireRecord{Order: offset, Era: uint64(era), To: r.To, Outcome: r.Outcome, OrderedMillis: r.OrderedMillis})
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Record) UnmarshalJSON(data []byte) error {
	var w wireRecord
	if err := json.Unmarshal(data, &w); err != nil {
		return errors.Wrap(err, "decode rollout record")
	}
	*r = Record{Order: ident.NewPosition(ident.Era(w.Era), w.Order), To: w.To, Outcome: w.Outcome, OrderedMillis: w.OrderedMillis}
	return nil
}

// isOf reports whether the record is of an order, which may stand in an older copy at the same offset as
// before. A record that is in the copy is later than its order, so that the order is there too.
func (r Record) isOf(o *Order) bool {
	return r.Order.SameOffset(o.At) && r.Order.Era() <= o.At.Era() && r.To == o.To
}

// StatusTopic is the topic where operators read the status of their orders.
type StatusTopic struct {
	Topic string
	// Encode returns the key and the value of the status record for a phase.
	Encode func(service ident.Service, to ident.SoftwareVersion, phase Phase) (key string, value []byte, err error)
}

// ledger reads and writes the two topics and caches their records.
type ledger struct {
	store  platform.KeyedLog
	status StatusTopic

	loaded                bool
	recordsEnd, statusEnd ident.Position
	records               map[ident.Service]Record
	// reported is the record whose status was last written.
	reported map[ident.Service]Record
}

// invalidate makes the next load read the topics again.
func (l *ledger) invalidate() { l.loaded = false }

// load reads the topics, unless they are loaded.
func (l *ledger) load(ctx context.Context) error {
	if l.loaded {
		return nil
	}
	status, err := l.store.Newest(ctx, l.status.Topic, nil)
	if err != nil {
		return err
	}
	// The records are read second, so that a status derived from them is only written if no
	// status was written since.
	batch, err := l.store.Newest(ctx, Topic, nil)
	if err != nil {
		return err
	}
	l.records, l.reported = make(map[ident.Service]Record), make(map[ident.Service]Record)
	for _, record := range batch.Records {
		if record.Value == nil || record.Unreadable != nil {
			continue
		}
		var decoded Record
		if err := json.Unmarshal(record.Value, &decoded); err != nil {
			return errors.Wrapf(err, "rollout record at %v", record.At)
		}
		l.records[ident.Service(record.Key)] = decoded
	}
	l.recordsEnd, l.statusEnd, l.loaded = batch.End, status.End, true
	return nil
}

// writeRecord records an outcome, unless it is recorded already.
func (l *ledger) writeRecord(ctx context.Context, service ident.Service, r Record) error {
	if l.records[service] == r {
		return nil
	}
	value, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode rollout record")
	}
	if l.recordsEnd, err = l.put(ctx, Topic, string(service), value, l.recordsEnd); err != nil {
		return err
	}
	l.records[service] = r
	return nil
}

// writeStatus writes the recorded outcome of a service's order for the operators, unless it is
// written already.
func (l *ledger) writeStatus(ctx context.Context, service ident.Service) error {
	r := l.records[service]
	if l.reported[service] == r {
		return nil
	}
	key, value, err := l.status.Encode(service, r.To, r.Outcome)
	if err != nil {
		return err
	}
	if l.statusEnd, err = l.put(ctx, l.status.Topic, key, value, l.statusEnd); err != nil {
		return err
	}
	l.reported[service] = r
	return nil
}

// put writes a record if the topic still ends at end, and returns the new end. After an error
// the topics must be read again, because the write may have taken effect.
func (l *ledger) put(ctx context.Context, topic, key string, value []byte, end ident.Position) (ident.Position, error) {
	at, err := l.store.Put(ctx, topic, key, value, &end)
	if err != nil {
		l.invalidate()
		return end, err
	}
	return at.Next(), nil
}
