package document

import (
	"fmt"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// BuildSet returns the documents in force for a program that understands schemas
// up to schema, and one problem for each service whose newest document it cannot
// use. Such a service keeps the newest document that the program can use, from
// the state or else from the previous set. previous may be nil.
func BuildSet(s State, previous *Set, schema int) (*Set, []string) {
	set := &Set{Revision: s.revision, Services: make(map[ident.Service]Entry, len(s.services))}
	var problems []string
	for _, service := range s.Services() {
		entry, problem := chooseEntry(s.services[service], previous.entry(service), schema)
		if problem != "" {
			problems = append(problems, fmt.Sprintf("%s: %s", service, problem))
		}
		if entry.Document != nil {
			set.Services[service] = entry
		}
	}
	return set, problems
}

func (s *Set) entry(service ident.Service) Entry {
	if s == nil {
		return Entry{}
	}
	return s.Services[service]
}

// chooseEntry returns the newest usable version, or the previous entry if that is
// newer, and a problem if the newest version is not usable. versions are ascending
// by revision.
func chooseEntry(versions []AcceptedPublication, previous Entry, schema int) (Entry, string) {
	problem := ""
	for i := len(versions) - 1; i >= 0; i-- {
		a := versions[i]
		if a.Revision <= previous.Revision {
			return previous, problem
		}
		d, reason := parsePublication(a, schema)
		if reason == "" {
			return Entry{Revision: a.Revision, Document: d}, problem
		}
		if problem == "" {
			problem = reason
		}
	}
	return previous, problem
}

// parsePublication returns the document of a publication, or the reason why this
// program cannot use it.
func parsePublication(a AcceptedPublication, schema int) (*Document, string) {
	if a.Schema > schema {
		return nil, fmt.Sprintf("revision %d has schema %d, this program understands up to %d",
			a.Revision, a.Schema, schema)
	}
	d, found := Parse(fmt.Sprintf("%s@%d", a.Service, a.Revision), a.Document)
	if len(found) > 0 {
		return nil, fmt.Sprintf("revision %d is not valid: %s", a.Revision, found[0])
	}
	if d.Service != a.Service {
		return nil, fmt.Sprintf("revision %d describes service %q", a.Revision, d.Service)
	}
	return d, ""
}
