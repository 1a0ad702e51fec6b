package auth

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
)

func digestOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func TestAuthenticate(t *testing.T) {
	a, err := New([]Credential{
		{Account: "registrar", TokenSHA256: digestOf("r-token")},
		{Account: "trader", TokenSHA256: digestOf("t-token")},
	})
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		header  string
		account string
	}{
		"first account":                  {"Bearer r-token", "registrar"},
		"second account":                 {"Bearer t-token", "trader"},
		"missing header":                 {"", ""},
		"wrong token":                    {"Bearer x", ""},
		"the digest is not a token":      {"Bearer " + digestOf("t-token"), ""},
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
				t.Fatalf("error %v", err)
			}
			// One answer for missing and wrong tokens alike.
			if refused && err.Error() != errUnauthenticated.Error() {
				t.Fatalf("the refusal tells the cases apart: %v", err)
			}
		})
	}
}

func TestNewRefusesWhatIsNoDigest(t *testing.T) {
	for _, digest := range []string{"", "zz", "abcd", digestOf("x") + "00"} {
		if _, err := New([]Credential{{Account: "a", TokenSHA256: digest}}); err == nil {
			t.Errorf("digest %q was accepted", digest)
		}
	}
}
