package gateway

import (
	"time"

	"github.com/google/uuid"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/finding"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// maxKeyBytes is the longest idempotency key. It is bounded because every gateway keeps
// the keys of the whole window in which they are valid.
const maxKeyBytes = 256

// findService returns the document of the service that a request names. The service
// must be of the given kind.
func findService(set *document.Set, name string, kind document.Kind) (*document.Document, error) {
	doc, ok := set.Find(ident.Service(name))
	if !ok {
		return nil, errcode.Errorf(errcode.NotFound, "no service %q", name)
	}
	if doc.Kind != kind {
		return nil, errcode.Errorf(errcode.InvalidArgument, "service %q is of kind %s; want %s", name, doc.Kind, kind)
	}
	return doc, nil
}

// invalidRequest returns all findings of a request as one error, or nil.
func invalidRequest(found finding.List) error {
	return errcode.Wrap(errcode.InvalidArgument, found.Err(), "invalid request")
}

// checkCall checks a call and returns its method.
func checkCall(doc *document.Document, req *callerv1.CallRequest) (document.Method, error) {
	method, ok := doc.FindMethod(ident.Method(req.GetMethod()))
	if !ok {
		return method, errcode.Errorf(errcode.InvalidArgument, "service %q has no method %q", doc.Service, req.GetMethod())
	}
	if method.Idempotent && req.GetIdempotencyKey() == "" {
		return method, nil
	}
	found := checkKey(req.GetIdempotencyKey())
	if !req.GetIssuedAt().IsValid() {
		found.Add(finding.Finding{Key: "issued_at", Problem: "missing or out of range", Want: "when the key was first used"})
	}
	if req.GetAttempt() == 0 {
		found.Add(finding.Finding{Key: "attempt", Problem: "is 0", Want: "1 for the first attempt with this key"})
	}
	return method, invalidRequest(found)
}

func checkKey(key string) finding.List {
	var found finding.List
	switch {
	case key == "":
		found.Add(finding.Finding{Key: "idempotency_key", Problem: "missing", Want: "a key that is unique within the client account"})
	case len(key) > maxKeyBytes:
		found.Add(finding.Finding{Key: "idempotency_key", Problem: "too long", Want: "at most 256 bytes"})
	}
	return found
}

// checkGenerate checks a request for a token stream and returns its latency class.
func checkGenerate(doc *document.Document, req *callerv1.GenerateRequest) (document.Class, error) {
	var found finding.List
	class, ok := doc.FindClass(ident.Class(req.GetClass()))
	if !ok {
		found.Add(finding.Finding{Key: "class", Problem: "unknown class", Want: "a latency class of service " + string(doc.Service)})
	}
	checkRequestID(&found, req.GetRequestId())
	if req.GetPrompt() == "" {
		found.Add(finding.Finding{Key: "prompt", Problem: "empty", Want: "a text"})
	}
	if req.GetMaxTokens() == 0 {
		found.Add(finding.Finding{Key: "max_tokens", Problem: "is 0", Want: "the length of the answer"})
	}
	return class, invalidRequest(found)
}

func checkRequestID(found *finding.List, id string) {
	if _, err := uuid.Parse(id); err != nil {
		found.Add(finding.Finding{Key: "request_id", Problem: "not a UUID", Want: "a random UUID chosen by the caller"})
	}
}

// maxServiceNameBytes bounds the name of a service in logs and traces: a request can
// name a service that no document describes.
const maxServiceNameBytes = 256

// checkResume checks the fields of a request to resume a token stream. It does not look
// up the service, which may have been withdrawn since the stream began.
func checkResume(req *callerv1.ResumeRequest) error {
	var found finding.List
	checkRequestID(&found, req.GetRequestId())
	switch {
	case len(req.GetService()) > maxServiceNameBytes:
		found.Add(finding.Finding{Key: "service", Problem: "too long", Want: "the service of the stream"})
	case req.GetOriginal() != nil && req.GetOriginal().GetService() != req.GetService():
		found.Add(finding.Finding{Key: "service", Problem: "is not that of original", Want: "the service of the stream"})
	}
	return invalidRequest(found)
}

// deadlineAfter returns the time by which a request has to be answered, or the zero
// time if limit is not positive. The caller's own deadline is in the context.
func deadlineAfter(now time.Time, limit time.Duration) time.Time {
	if limit <= 0 {
		return time.Time{}
	}
	return now.Add(limit)
}
