package document

import (
	"google.golang.org/protobuf/proto"

	configv1 "github.com/goldcrestspool/goldcrestspool/api/config/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// StreamName is the name of the configuration stream in the platform's log.
const StreamName = "configuration"

// MaxBytes is the maximum size of a document. It keeps a snapshot of all documents
// a small record.
const MaxBytes = 64 << 10

// Publication is an operator's new version of one document.
type Publication struct {
	Service ident.Service
	// BaseRevision is the service's revision that this publication replaces; 0 if it is
	// the first.
	BaseRevision ident.Revision
	// PublishID is unique for each publication. By it an operator's program
	// finds its own record if the answer to the append was lost.
	PublishID string
	Schema    int
	// Document is the TOML text of the document.
	Document []byte
}

// AcceptedPublication is a publication that is or was in force.
type AcceptedPublication struct {
	// Revision is the revision from which the publication was in force.
	Revision ident.Revision
	Publication
	// record is the publication's record as the log holds it.
	record []byte
}

// EncodePublication returns a publication as a record for the log.
func EncodePublication(p Publication) ([]byte, error) {
	return encode(&configv1.Record{Kind: &configv1.Record_Publication{
		Publication: &configv1.Publication{
			Service:      string(p.Service),
			BaseRevision: uint64(p.BaseRevision),
			PublishId:    p.PublishID,
			Schema:       uint32(p.Schema),
			Document:     p.Document,
		},
	}})
}

func encode(r *configv1.Record) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	return data, errcode.Wrap(errcode.InvalidArgument, err, "encode configuration record")
}

// decoded is a decoded record; exactly one of its fields is set.
type decoded struct {
	publication *Publication
	snapshot    *snapshot
}

func decode(data []byte) (decoded, error) {
	var r configv1.Record
	if err := proto.Unmarshal(data, &r); err != nil {
		return decoded{}, errcode.Wrap(errcode.InvalidArgument, err, "decode configuration record")
	}
	switch kind := r.GetKind().(type) {
	case *configv1.Record_Publication:
		p, err := decodePublication(kind.Publication)
		return decoded{publication: p}, err
	case *configv1.Record_Snapshot:
		s, err := decodeSnapshot(kind.Snapshot)
		return decoded{snapshot: s}, err
	}
	return decoded{}, errcode.New(errcode.InvalidArgument, "configuration record of an unknown kind")
}

func decodePublication(p *configv1.Publication) (*Publication, error) {
	if p.GetService() == "" || p.GetPublishId() == "" {
		return nil, errcode.New(errcode.InvalidArgument, "publication without service or publish ID")
	}
	return &Publication{
		Service:      ident.Service(p.GetService()),
		BaseRevision: ident.Revision(p.GetBaseRevision()),
		PublishID:    p.GetPublishId(),
		Schema:       int(p.GetSchema()),
		Document:     p.GetDocument(),
	}, nil
}

// decodeAccepted decodes the record of a publication that another process has
// accepted at a revision.
func decodeAccepted(revision ident.Revision, record []byte) (AcceptedPublication, error) {
	d, err := decode(record)
	if err != nil {
		return AcceptedPublication{}, err
	}
	if d.publication == nil || revision == 0 {
		return AcceptedPublication{}, errcode.New(errcode.InvalidArgument, "accepted record is not a publication")
	}
	return AcceptedPublication{Revision: revision, Publication: *d.publication, record: record}, nil
}
