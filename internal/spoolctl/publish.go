package spoolctl

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/google/uuid"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/finding"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// verdict is the outcome of a publication.
type verdict string

// The verdicts.
const (
	// accepted: the document came into force with the revision.
	accepted verdict = "accepted"
	// lost: another operator's publication came first and this one changed
	// nothing.
	lost verdict = "lost"
	// notPublished: the log was unavailable and did not append the record, nor
	// will it do so later.
	notPublished verdict = "not_published"
	// undecided: the log's answer was lost, or the log cannot be read back. The
	// publication may still be accepted.
	undecided verdict = "undecided"
)

// publication is the result of a publish command.
type publication struct {
	Service   ident.Service `json:"service"`
	PublishID string        `json:"publish_id"`
	Verdict   verdict       `json:"verdict"`
	// Base is the revision that this publication replaces if it is accepted.
	Base ident.Revision `json:"base_revision"`
	// Revision is that of this publication if it was accepted, else the one in
	// force.
	Revision ident.Revision `json:"revision"`
	Detail   string         `json:"detail,omitempty"`
}

func (c *command) publish(ctx context.Context, a *publishArguments) error {
	doc, data, findings := readDocument(a.File)
	if err := findings.Err(); err != nil {
		return err
	}
	s, err := a.openStream()
	if err != nil {
		return err
	}
	p := document.Publication{
		Service:   doc.Service,
		PublishID: a.PublishID,
		Schema:    doc.Schema,
		Document:  data,
	}
	result, err := publish(ctx, s, p, a.Base)
	if err != nil {
		return err
	}
	c.print(result, result.String())
	if result.Verdict != accepted {
		return errResultPrinted
	}
	return nil
}

// String describes the verdict in a sentence.
func (p publication) String() string {
	switch p.Verdict {
	case accepted:
		return fmt.Sprintf("%s: accepted at revision %d (replaces %s)",
			p.Service, p.Revision, revisionOrNone(p.Base))
	case lost:
		return fmt.Sprintf("%s: lost to revision %s, which came before this one could replace %s",
			p.Service, revisionOrNone(p.Revision), revisionOrNone(p.Base))
	case notPublished:
		return fmt.Sprintf("%s: not published: %s", p.Service, p.Detail)
	}
	return fmt.Sprintf("%s: undecided: %s; run again with --publish-id %s --base %d",
		p.Service, p.Detail, p.PublishID, p.Base)
}

func readDocument(file string) (*document.Document, []byte, finding.List) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, finding.List{{File: file, Problem: err.Error(), Want: "a readable file"}}
	}
	doc, findings := document.Parse(file, data)
	return doc, data, findings
}

// publish appends a publication at most once and then reads the stream until the
// publication's record is accepted or refused. If the log's answer is lost, the
// record is looked for by its publish ID and never appended again, since the
// first append may have taken effect. A publication that already has a publish
// ID is looked for before it is appended.
func publish(ctx context.Context, s *configStream, p document.Publication, base *uint64) (publication, error) {
	if err := s.readToHead(ctx); err != nil {
		return publication{}, err
	}
	if p.PublishID == "" {
		p.PublishID = uuid.NewString()
	} else if result, ok := s.findDecision(p); ok {
		return result, nil
	}
	current, _ := s.reader.State().Current(p.Service)
	p.BaseRevision = current.Revision
	if base != nil {
		p.BaseRevision = ident.Revision(*base)
	}
	result := publication{Service: p.Service, PublishID: p.PublishID, Base: p.BaseRevision}
	if p.BaseRevision != current.Revision {
		result.Verdict, result.Revision = lost, current.Revision
		return result, nil
	}
	return s.appendPublication(ctx, p, result)
}

func (s *configStream) appendPublication(ctx context.Context, p document.Publication, result publication) (publication, error) {
	record, err := document.EncodePublication(p)
	if err != nil {
		return result, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	s.recordsExpired = false
	appendCtx, cancelAppend := context.WithTimeout(ctx, readTimeout)
	defer cancelAppend()
	_, err = s.log.Append(appendCtx, document.StreamName, [][]byte{record})
	if errors.Is(err, platform.ErrUnavailable) {
		result.Verdict, result.Detail, result.Revision = notPublished, err.Error(), p.BaseRevision
		return result, nil
	}
	return s.awaitDecision(ctx, p, result, err)
}

// awaitDecision reads the stream until the publication is accepted or refused, or
// ctx ends. appendErr is the append's error, or nil.
func (s *configStream) awaitDecision(ctx context.Context, p document.Publication, result publication, appendErr error) (publication, error) {
	for {
		if decided, ok := s.findDecision(p); ok {
			return decided, nil
		}
		if current, _ := s.reader.State().Current(p.Service); current.Revision != p.BaseRevision && !s.recordsExpired {
			// All records up to this revision were read and this publication's
			// record is not among them. A record that comes later has a base
			// that is no longer in force and is refused.
			result.Verdict, result.Revision = lost, current.Revision
			return result, nil
		}
		if ctx.Err() != nil {
			result.Verdict, result.Revision = undecided, p.BaseRevision
			result.Detail = "the log's answer was lost and the record is not in the log yet"
			if appendErr == nil {
				result.Detail = "the log took the record but could not be read back"
			}
			return result, nil
		}
		if err := s.readBatch(ctx, readWait); err != nil {
			pause(ctx, retryPause)
		}
	}
}

// findDecision returns the verdict on the publication with p's service and
// publish ID, or false if there is none yet.
func (s *configStream) findDecision(p document.Publication) (publication, bool) {
	result := publication{Service: p.Service, PublishID: p.PublishID, Base: p.BaseRevision}
	for _, d := range s.decisions {
		if d.Publication.PublishID != p.PublishID || d.Publication.Service != p.Service {
			continue
		}
		result.Base, result.Revision = d.Publication.BaseRevision, d.CurrentRevision
		result.Verdict = lost
		if d.Kind == document.AcceptedRecord {
			result.Verdict = accepted
		}
		return result, true
	}
	// The record itself may have expired; then a snapshot contains its document
	// if it is in force.
	current, _ := s.reader.State().Current(p.Service)
	if current.PublishID == p.PublishID {
		result.Base, result.Revision, result.Verdict = current.BaseRevision, current.Revision, accepted
		return result, true
	}
	return publication{}, false
}

func (c *command) validate(a *validateArguments) error {
	var all finding.List
	services := map[ident.Service]string{}
	for _, file := range a.Files {
		doc, _, findings := readDocument(file)
		all = append(all, findings...)
		if len(findings) > 0 {
			continue
		}
		if earlier, ok := services[doc.Service]; ok {
			all.Add(finding.Finding{
				File: file, Key: "service",
				Problem: fmt.Sprintf("%q is also described by %s", doc.Service, earlier),
				Want:    "one document a service",
			})
		}
		services[doc.Service] = file
	}
	if err := all.Err(); err != nil {
		return err
	}
	c.print(struct {
		Valid []string `json:"valid"`
	}{a.Files}, fmt.Sprintf("%d valid", len(a.Files)))
	return nil
}

// revisionNotFound returns the error for a revision that does not exist or has
// expired.
func revisionNotFound(service ident.Service, revision ident.Revision) error {
	return errcode.Errorf(errcode.NotFound,
		"%s has no revision %d, or the log no longer keeps it", service, revision)
}
