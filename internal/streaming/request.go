package streaming

import (
	"net/url"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Key names a request within its client account. An account reaches no
// request but its own, whatever request ID it tries.
type Key struct {
	Account ident.ClientAccount
	Request ident.Request
}

// String names the request together with its account. Both parts are escaped,
// so that no two keys have the same name.
func (k Key) String() string {
	return url.PathEscape(string(k.Account)) + "/" + url.PathEscape(string(k.Request))
}

// engineID is the name under which engines know the request. It holds the
// account, because callers choose request IDs: two accounts with the same ID
// at the same engine would otherwise share one exported KV cache.
func (k Key) engineID() ident.Request { return ident.Request(k.String()) }

// Ask is what a caller asks for. Two requests with the same Key and a
// different Ask are different requests.
type Ask struct {
	Service ident.Service
	Class   ident.Class
	Prompt  string
	// MaxTokens is the length of the whole answer.
	MaxTokens uint32
}

// Request is one token stream to serve.
type Request struct {
	Key Key
	Ask Ask
	// Priority: higher is served first.
	Priority int32
	// Deadline after which the answer is of no use; zero means none. It
	// must hold a monotonic reading.
	Deadline time.Time
	// Delivered are the tokens that the caller already has.
	Delivered []string
	// Attempt is the last attempt that was opened, here or elsewhere.
	Attempt uint32
	// Served is the instance of that attempt, which may hold the prefix in
	// its cache; empty when it is not known.
	Served ident.Instance
}

// validate returns an invalid-argument error, or nil.
func (r Request) validate(maxTokens uint32) error {
	switch {
	case r.Key.Request == "":
		return errcode.New(errcode.InvalidArgument, "request_id is empty")
	case r.Key.Account == "":
		return errcode.New(errcode.InvalidArgument, "client account is empty")
	case r.Ask.MaxTokens == 0 || r.Ask.MaxTokens > maxTokens:
		return errcode.Errorf(errcode.InvalidArgument, "max_tokens is %d; want 1 to %d", r.Ask.MaxTokens, maxTokens)
	case uint32(len(r.Delivered)) > r.Ask.MaxTokens:
		return errcode.Errorf(errcode.InvalidArgument, "%d tokens delivered of an answer of %d", len(r.Delivered), r.Ask.MaxTokens)
	}
	return nil
}
