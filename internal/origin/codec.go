package origin

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	exchangev1 "github.com/goldcrestspool/goldcrestspool/api/exchange/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// errInvalid is the error of a message that no gateway of this build sends.
var errInvalid = errors.New("a stream or a service is missing")

// encodeRecords encodes what another gateway is told.
func encodeRecords(records []Record, now time.Time) ([]byte, error) {
	out := &exchangev1.StreamOrigins{}
	for i := range records {
		r := &records[i]
		out.Origins = append(out.Origins, &exchangev1.StreamOrigin{
			Account: string(r.Stream.Account), Attempt: []byte(r.Stream.Attempt), Service: string(r.Origin.Service), SoftwareVersion: string(r.Origin.SoftwareVersion),
			KeepMs: encodeDuration(r.Until.Sub(now)),
		})
	}
	data, err := proto.Marshal(out)
	return data, errors.Wrap(err, "encode streams' origins")
}

func decodeRecords(data []byte, now time.Time) ([]Record, error) {
	var in exchangev1.StreamOrigins
	if err := proto.Unmarshal(data, &in); err != nil {
		return nil, errors.Wrap(err, "decode streams' origins")
	}
	records := make([]Record, 0, len(in.Origins))
	for _, o := range in.Origins {
		if len(o.Attempt) == 0 || o.Service == "" {
			return nil, errInvalid
		}
		records = append(records, Record{
			Stream: Stream{ident.ClientAccount(o.Account), ident.Request(o.Attempt)}, Origin: decodeOrigin(o), Until: now.Add(milliseconds(o.KeepMs)),
		})
	}
	return records, nil
}

func encodeQuestion(q Question) ([]byte, error) {
	out := &exchangev1.OriginQuestion{Account: string(q.Stream.Account), Attempt: []byte(q.Stream.Attempt), WithinMs: encodeDuration(q.Within)}
	for _, s := range q.Services {
		out.Services = append(out.Services, string(s))
	}
	data, err := proto.Marshal(out)
	return data, errors.Wrap(err, "encode a question about a stream")
}

func decodeQuestion(data []byte) (Question, error) {
	var in exchangev1.OriginQuestion
	if err := proto.Unmarshal(data, &in); err != nil {
		return Question{}, errors.Wrap(err, "decode a question about a stream")
	}
	q := Question{Stream: Stream{ident.ClientAccount(in.Account), ident.Request(in.Attempt)}, Within: milliseconds(in.WithinMs)}
	for _, s := range in.Services {
		q.Services = append(q.Services, ident.Service(s))
	}
	if len(q.Services) == 0 {
		return Question{}, errInvalid
	}
	return q, nil
}

func encodeEvidence(e evidence, knownFor time.Duration) ([]byte, error) {
	data, err := proto.Marshal(&exchangev1.OriginAnswer{Recorded: encodeOrigins(e.recorded), Listed: encodeOrigins(e.listed), Unused: encodeOrigins(e.unused), KnownForMs: encodeDuration(knownFor), Stale: e.stale})
	return data, errors.Wrap(err, "encode what is known of a stream")
}

// decodeEvidence decodes the answer to a question. within is that of the question.
func decodeEvidence(data []byte, within time.Duration) (evidence, error) {
	var in exchangev1.OriginAnswer
	if err := proto.Unmarshal(data, &in); err != nil {
		return evidence{}, errors.Wrap(err, "decode what is known of a stream")
	}
	e := evidence{complete: milliseconds(in.KnownForMs) >= within, stale: in.Stale}
	for _, o := range in.Recorded {
		e.recorded = append(e.recorded, decodeOrigin(o))
	}
	for _, o := range in.Listed {
		e.listed = append(e.listed, decodeOrigin(o))
	}
	for _, o := range in.Unused {
		e.unused = append(e.unused, decodeOrigin(o))
	}
	return e, nil
}

func encodeOrigins(origins []Origin) []*exchangev1.StreamOrigin {
	var out []*exchangev1.StreamOrigin
	for _, o := range origins {
		out = append(out, &exchangev1.StreamOrigin{Service: string(o.Service), SoftwareVersion: string(o.SoftwareVersion)})
	}
	return out
}

func decodeOrigin(o *exchangev1.StreamOrigin) Origin {
	return Origin{ident.Service(o.Service), ident.SoftwareVersion(o.SoftwareVersion)}
}

// encodeDuration rounds down to milliseconds; what does not fit is shortened.
func encodeDuration(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), 1<<32-1))
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
