package rollout

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Topic holds one record for each service: what was decided of its newest order. It is
// written only if nothing was written since it was read, so that a holder that stood still
// cannot decide otherwise than its successor did.
const Topic = "keyed.rollouts"

// Record is what holders decided of an order.
type Record struct {
	Order ident.Offset  `json:"order"`
	To    ident.Version `json:"to"`
	// Outcome is Canary while the order runs.
	Outcome Phase `json:"outcome"`
	// OrderedMillis is when it was given, milliseconds of true time since 1970.
	OrderedMillis int64 `json:"ordered_ms"`
}

// Reports is where the operators read how far an order is.
type Reports struct {
	Topic string
	// Encode returns the key and the value that say a phase.
	Encode func(service ident.Service, to ident.Version, phase Phase) (key string, value []byte, err error)
}

// ledger is what the holder knows of the two topics.
type ledger struct {
	store  platform.KeyedLog
	status Reports

	loaded                bool
	recordsEnd, statusEnd ident.Offset
	records               map[ident.Service]Record
	// reported is the order and phase that was reported last.
	reported map[ident.Service]Record
}

// invalidate lets everything be read again.
func (l *ledger) invalidate() { l.loaded = false }

// load reads the records, unless they are known.
func (l *ledger) load(ctx context.Context) error {
	if l.loaded {
		return nil
	}
	reports, err := l.store.Newest(ctx, l.status.Topic, nil)
	if err != nil {
		return err
	}
	// The records come second: whatever they decide is reported under the condition
	// that nobody reported since.
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
			return errors.Wrapf(err, "record of a rollout at %d", record.Offset)
		}
		l.records[ident.Service(record.Key)] = decoded
	}
	l.recordsEnd, l.statusEnd, l.loaded = batch.End, reports.End, true
	return nil
}

// writeRecord writes what was decided.
func (l *ledger) writeRecord(ctx context.Context, service ident.Service, r Record) error {
	if l.records[service] == r {
		return nil
	}
	value, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode record of a rollout")
	}
	if l.recordsEnd, err = l.put(ctx, Topic, string(service), value, l.recordsEnd); err != nil {
		return err
	}
	l.records[service] = r
	return nil
}

// writeStatus tells the operators what was recorded.
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

// put writes a record where the topic ends, and returns its next end. After an error
// everything is read again: the write may have been done.
func (l *ledger) put(ctx context.Context, topic, key string, value []byte, end ident.Offset) (ident.Offset, error) {
	offset, err := l.store.Put(ctx, topic, key, value, &end)
	if err != nil {
		l.invalidate()
		return end, err
	}
	return offset + 1, nil
}
