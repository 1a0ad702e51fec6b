package spoolctl

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// version is one publication in a service's history, accepted or refused.
type version struct {
	// Revision is 0 for a publication that was refused.
	Revision  ident.Revision `json:"revision,omitempty"`
	Base      ident.Revision `json:"base_revision"`
	PublishID string         `json:"publish_id"`
	Schema    int            `json:"schema"`
	Bytes     int            `json:"bytes"`
	Verdict   verdict        `json:"verdict"`
	// LostTo is the revision that was in force instead, for a refused publication.
	LostTo ident.Revision `json:"lost_to,omitempty"`
	// At is when the log appended the record; nil if the record has expired.
	At      *time.Time `json:"at,omitempty"`
	InForce bool       `json:"in_force,omitempty"`

	document []byte
}

// versions lists the publications of a service that the log still holds, as
// records or in a snapshot, oldest first.
func (s *configStream) versions(service ident.Service) []version {
	current, _ := s.reader.State().Current(service)
	list := s.snapshotVersions(service)
	for _, d := range s.decisions {
		if d.Publication.Service == service {
			list = append(list, s.versionOf(d))
		}
	}
	for i := range list {
		list[i].InForce = list[i].Revision != 0 && list[i].Revision == current.Revision
	}
	return list
}

// snapshotVersions lists the accepted versions that the reader knows from a
// snapshot only, since it did not apply their records.
func (s *configStream) snapshotVersions(service ident.Service) []version {
	applied := map[ident.Revision]bool{}
	for _, d := range s.decisions {
		if d.Kind == document.AcceptedRecord {
			applied[d.CurrentRevision] = true
		}
	}
	var list []version
	for _, a := range s.reader.State().Versions(service) {
		if !applied[a.Revision] {
			v := newVersion(a.Publication, accepted, a.Revision)
			v.At = s.appendTime(ident.Offset(a.Revision - 1))
			list = append(list, v)
		}
	}
	return list
}

// appendTime returns when a record was appended, or nil if the record expired
// before it was read.
func (s *configStream) appendTime(offset ident.Offset) *time.Time {
	at, read := s.appendedAt[offset]
	if !read {
		return nil
	}
	return &at
}

func (s *configStream) versionOf(d document.Decision) version {
	var v version
	if d.Kind == document.AcceptedRecord {
		v = newVersion(d.Publication, accepted, d.CurrentRevision)
	} else {
		v = newVersion(d.Publication, lost, 0)
		v.LostTo = d.CurrentRevision
	}
	v.At = s.appendTime(d.Offset)
	return v
}

func newVersion(p document.Publication, outcome verdict, revision ident.Revision) version {
	return version{
		Revision: revision, Base: p.BaseRevision, PublishID: p.PublishID, Schema: p.Schema,
		Bytes: len(p.Document), Verdict: outcome, document: p.Document,
	}
}

func (c *command) history(ctx context.Context, a *historyArguments) error {
	s, err := a.openStream()
	if err != nil {
		return err
	}
	if err := s.readToHead(ctx); err != nil {
		return err
	}
	list := s.versions(ident.Service(a.Service))
	if len(list) == 0 {
		return errcode.Errorf(errcode.NotFound, "no document of service %q was published", a.Service)
	}
	c.print(struct {
		Service  string    `json:"service"`
		Versions []version `json:"versions"`
	}{a.Service, list}, historyTable(list))
	return nil
}

func historyTable(list []version) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REVISION\tBASE\tPUBLISHED\tSCHEMA\tBYTES\tPUBLISH ID\tVERDICT")
	for _, v := range list {
		at := "expired"
		if v.At != nil {
			at = v.At.UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%s\n", dashForNone(v.Revision), revisionOrNone(v.Base),
			at, v.Schema, v.Bytes, v.PublishID, v.verdictText())
	}
	_ = w.Flush()
	return strings.TrimSuffix(b.String(), "\n")
}

func dashForNone(r ident.Revision) string {
	if r == 0 {
		return "-"
	}
	return fmt.Sprint(r)
}

func (v version) verdictText() string {
	switch {
	case v.Verdict == lost:
		return "lost to " + revisionOrNone(v.LostTo)
	case v.InForce:
		return "in force"
	}
	return string(v.Verdict)
}

func (c *command) show(ctx context.Context, a *showArguments) error {
	s, err := a.openStream()
	if err != nil {
		return err
	}
	if err := s.readToHead(ctx); err != nil {
		return err
	}
	service, wanted := ident.Service(a.Service), ident.Revision(a.Revision)
	for _, v := range s.versions(service) {
		if v.Verdict != accepted || v.Revision != wanted && (wanted != 0 || !v.InForce) {
			continue
		}
		c.print(struct {
			Service string `json:"service"`
			version
			Document string `json:"document"`
		}{a.Service, v, string(v.document)}, strings.TrimSuffix(string(v.document), "\n"))
		return nil
	}
	if wanted == 0 {
		return errcode.Errorf(errcode.NotFound, "no document of service %q was published", a.Service)
	}
	return revisionNotFound(service, wanted)
}
