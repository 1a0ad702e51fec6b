package configuration

import (
	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// ToProto is the answer to a peer's GetDocuments.
func ToProto(d document.Delta) *peerv1.GetDocumentsResponse {
	out := &peerv1.GetDocumentsResponse{Revision: uint64(d.Through)}
	for _, r := range d.Records {
		out.Records = append(out.Records, &peerv1.DocumentRecord{
			Revision: uint64(r.Revision),
			Record:   r.Record,
		})
	}
	return out
}

// FromProto reads a peer's answer to GetDocuments.
func FromProto(in *peerv1.GetDocumentsResponse) document.Delta {
	d := document.Delta{Through: ident.Revision(in.GetRevision())}
	for _, r := range in.GetRecords() {
		d.Records = append(d.Records, document.DeltaRecord{
			Revision: ident.Revision(r.GetRevision()),
			Record:   r.GetRecord(),
		})
	}
	return d
}
