package entry

import (
	"context"
	"net/url"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/origin"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

const (
	// beginningsTopic holds a key for each software at which streams begin though it has just appeared.
	beginningsTopic = "keyed.beginnings"
	// maxTopicKey is the longest key of a keyed topic, in bytes.
	maxTopicKey = 255
	// beginningsKeptFor is how long a key is kept: longer than gateways take a version for one that may begin streams
	// because of it.
	beginningsKeptFor = 10 * time.Minute
	// beginningsDropTime bounds the call that drops a key.
	beginningsDropTime = time.Second
)

// errLongName: the names of a service and its version are too long for a key.
var errLongName = errors.New("the names are too long to be recorded")

// storedBeginnings implements origin.Beginnings in the platform's store.
type storedBeginnings struct {
	store platform.KeyedLog
	log   hclog.Logger
}

// Record implements origin.Beginnings.
func (s storedBeginnings) Record(ctx context.Context, o origin.Origin) error {
	key := url.PathEscape(string(o.Service)) + "/" + url.PathEscape(string(o.SoftwareVersion))
	if len(key) > maxTopicKey {
		return errLongName
	}
	if _, err := s.store.Put(ctx, beginningsTopic, key, []byte{1}, nil); err != nil {
		return err
	}
	time.AfterFunc(beginningsKeptFor, func() { s.drop(key) })
	return nil
}

// drop drops a key. Without it, each release would leave one.
func (s storedBeginnings) drop(key string) {
	ctx, cancel := context.WithTimeout(context.Background(), beginningsDropTime)
	defer cancel()
	if _, err := s.store.Put(ctx, beginningsTopic, key, nil, nil); err != nil {
		s.log.Info("recorded beginning of streams not dropped", "key", key, "error", err)
	}
}

// Read implements origin.Beginnings.
func (s storedBeginnings) Read(ctx context.Context) ([]origin.Origin, error) {
	batch, err := s.store.Newest(ctx, beginningsTopic, nil)
	if err != nil {
		return nil, err
	}
	var out []origin.Origin
	for _, record := range batch.Records {
		if record.Unreadable != nil || record.Value == nil {
			continue
		}
		service, version, found := strings.Cut(record.Key, "/")
		service, err1 := url.PathUnescape(service)
		version, err2 := url.PathUnescape(version)
		if !found || err1 != nil || err2 != nil {
			s.log.Error("recorded beginning of streams names no software", "key", record.Key, "position", record.At)
			continue
		}
		out = append(out, origin.Origin{Service: ident.Service(service), SoftwareVersion: ident.SoftwareVersion(version)})
	}
	return out, nil
}
