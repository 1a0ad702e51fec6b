// Package auth finds the client account of a caller by its bearer token. It holds only
// the SHA-256 digests of tokens, so that settings and memory dumps reveal no token.
package auth

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"slices"
	"strings"

	"connectrpc.com/connect"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const bearerPrefix = "Bearer "

// errUnauthenticated is the answer both to a missing and to a wrong token, so that
// callers do not learn which tokens exist.
var errUnauthenticated = errcode.New(errcode.Unauthenticated, "a valid bearer token is required")

// Digest is the SHA-256 digest of a token.
type Digest [sha256.Size]byte

// Credential is a client account with the digest of its token.
type Credential struct {
	Account ident.ClientAccount
	Token   Digest
}

// Authenticator maps tokens to client accounts. It is immutable.
type Authenticator struct{ credentials []Credential }

// New returns an authenticator for credentials.
func New(credentials []Credential) *Authenticator {
	return &Authenticator{credentials: slices.Clone(credentials)}
}

// Authenticate returns the client account of an Authorization header. It compares with
// every digest in constant time, so that the time taken reveals nothing.
func (a *Authenticator) Authenticate(header string) (ident.ClientAccount, error) {
	token, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok {
		return "", errUnauthenticated
	}
	digest := sha256.Sum256([]byte(token))
	var found ident.ClientAccount
	for _, c := range a.credentials {
		if subtle.ConstantTimeCompare(digest[:], c.Token[:]) == 1 {
			found = c.Account
		}
	}
	if found == "" {
		return "", errUnauthenticated
	}
	return found, nil
}

type accountKey struct{}

// Account returns the client account that Middleware put into a handler's
// context; empty outside a handler.
func Account(ctx context.Context) ident.ClientAccount {
	account, _ := ctx.Value(accountKey{}).(ident.ClientAccount)
	return account
}

// WithAccount returns a context that carries a client account.
func WithAccount(ctx context.Context, account ident.ClientAccount) context.Context {
	return context.WithValue(ctx, accountKey{}, account)
}

// Middleware returns a handler that gives next the client account of a request
// in its context. It answers requests without a valid token itself, without
// reading their body, and calls refused for each.
func (a *Authenticator) Middleware(next http.Handler, refused func(*http.Request)) http.Handler {
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account, err := a.Authenticate(r.Header.Get("Authorization"))
		if err == nil {
			next.ServeHTTP(w, r.WithContext(WithAccount(r.Context(), account)))
			return
		}
		refused(r)
		if !errorWriter.IsSupported(r) {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		// The error is ignored: it means that the caller's connection is gone.
		_ = errorWriter.Write(w, r, connect.NewError(connect.CodeUnauthenticated, err))
	})
}
