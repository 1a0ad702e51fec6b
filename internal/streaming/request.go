package streaming

import (
	"net/url"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Key identifies a request within its client account. An account can reach only
// its own requests, whatever request ID it sends.
type Key struct {
	Account ident.ClientAccount
	Request ident.Request
}

// String returns account and request ID, both escaped, so that no two keys have
// the same string.
func (k Key) String() string {
	return url.PathEscape(string(k.Account)) + "/" + url.PathEscape(string(k.Request))
}

// engineID returns the request ID that is sent to engines. It contains the
// account because callers choose request IDs: two accounts with the same ID at
// the same engine would otherwise share one exported KV cache.
func (k Key) engineID() ident.Request { return ident.Request(k.String()) }

// Params holds the parameters of a request that determine its answer. Two
// requests with the same Key and different Params are different requests.
type Params struct {
	Service ident.Service
	Class   ident.Class
	Prompt  string
	// MaxTokens is the length of the complete answer.
	MaxTokens uint32
}

// Request is a request for one token stream.
type Request struct {
	Key    Key
	Params Params
	// Priority orders requests: a higher one is served first.
	Priority int32
	// Deadline is the time after which the answer is of no use; zero means
	// none. It must have a monotonic clock reading.
	Deadline time.Time
	// Delivered are the tokens that the caller already has.
	Delivered []string
	// LastAttempt is the number of the last attempt that was opened, here or at
	// another gateway; 0 if there was none.
	LastAttempt uint32
	// LastInstance is the instance of that attempt, which may have the prefix in
	// its cache; empty if unknown.
	LastInstance ident.Instance
}

// validate returns an InvalidArgument error, or nil.
func (r Request) validate(maxTokens uint32) error {
	switch {
	case r.Key.Request == "":
		return errcode.New(errcode.InvalidArgument, "request_id is empty")
	case r.Key.Account == "":
		return errcode.New(errcode.InvalidArgument, "client account is empty")
	case r.Params.MaxTokens == 0 || r.Params.MaxTokens > maxTokens:
		return errcode.Errorf(errcode.InvalidArgument, "max_tokens is %d; want 1 to %d", r.Params.MaxTokens, maxTokens)
	case uint32(len(r.Delivered)) > r.Params.MaxTokens:
		return errcode.Errorf(errcode.InvalidArgument, "%d tokens delivered of an answer of %d", len(r.Delivered), r.Params.MaxTokens)
	}
	return nil
}
