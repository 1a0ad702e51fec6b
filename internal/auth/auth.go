// Package auth tells which client account a caller belongs to, by a bearer
// token. Only SHA-256 digests of tokens are held, so that settings and memory
// dumps give no token away.
package auth

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"

	"connectrpc.com/connect"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const bearerPrefix = "Bearer "

// errUnauthenticated is the one answer to a missing and to a wrong token, so
// that nobody learns which tokens exist.
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

// Authenticate returns the client account of an Authorization header. It
// compares with every digest in constant time, so that timing tells nothing.
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

// Account returns the client account that Interceptor put into a handler's
// context; empty outside a handler.
func Account(ctx context.Context) ident.ClientAccount {
	account, _ := ctx.Value(accountKey{}).(ident.ClientAccount)
	return account
}

// WithAccount returns a context that carries a client account.
func WithAccount(ctx context.Context, account ident.ClientAccount) context.Context {
	return context.WithValue(ctx, accountKey{}, account)
}

// Interceptor refuses every request without a valid token and gives the
// handler the client account of the others.
type Interceptor struct{ Authenticator *Authenticator }

// WrapUnary implements connect.Interceptor.
func (i Interceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		account, err := i.Authenticator.Authenticate(req.Header().Get("Authorization"))
		if err != nil {
			return nil, connect.NewError(connect.CodeUnauthenticated, err)
		}
		return next(WithAccount(ctx, account), req)
	}
}

// WrapStreamingClient implements connect.Interceptor; clients pass through.
func (i Interceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (i Interceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		account, err := i.Authenticator.Authenticate(conn.RequestHeader().Get("Authorization"))
		if err != nil {
			return connect.NewError(connect.CodeUnauthenticated, err)
		}
		return next(WithAccount(ctx, account), conn)
	}
}
