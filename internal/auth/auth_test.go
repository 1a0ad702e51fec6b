package auth

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
)

func digestOf(token string) Digest { return sha256.Sum256([]byte(token)) }

func TestAuthenticate(t *testing.T) {
	a := New([]Credential{
		{Account: "registrar", Token: digestOf("r-token")},
		{Account: "trader", Token: digestOf("t-token")},
	})
	digest := digestOf("t-token")
	cases := map[string]struct {
		header  string
		account string
	}{
		"first account":                  {"Bearer r-token", "registrar"},
		"second account":                 {"Bearer t-token", "trader"},
		"missing header":                 {"", ""},
		"wrong token":                    {"Bearer x", ""},
		"the digest is not a token":      {"Bearer " + hex.EncodeToString(digest[:]), ""},
		"another scheme":                 {"Basic t-token", ""},
		"token of nobody: empty":         {"Bearer ", ""},
		"prefix of a token is no access": {"Bearer t-toke", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			account, err := a.Authenticate(c.header)
			if string(account) != c.account {
				t.Fatalf("account %q, want %q", account, c.account)
			}
			refused := c.account == ""
			if refused != (errcode.Of(err) == errcode.Unauthenticated) {
				t.Fatalf("got error %v, want unauthenticated only without a valid token", err)
			}
			// A missing and a wrong token must get the same answer.
			if refused && err.Error() != errUnauthenticated.Error() {
				t.Fatalf("the refusal reveals whether the token was missing or wrong: %v", err)
			}
		})
	}
}
