package routetable

import (
	"fmt"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

func TestTheLongestPrefixWins(t *testing.T) {
	table := New(Spec{Routes: []Route{
		{Name: "all", Host: "a", Prefix: "/"}, {Name: "x", Host: "a", Prefix: "/x/"}, {Name: "xy", Host: "a", Prefix: "/x/y/"},
		{Name: "other", Host: "b", Prefix: "/x/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a", "/x/y/z", "xy"}, {"a", "/x/yy", "x"}, {"a", "/x", "all"}, {"a", "/q", "all"}, {"b", "/x/", "other"}, {"b", "/q", ""}, {"c", "/x/", ""},
		// The path that the upstream gets decides, so dots and escapes are not resolved.
		{"a", "/x/../q", "x"}, {"a", "/x%2Fy/", "all"},
	} {
		got := ""
		if r := table.Route(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s goes to %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestWeightsShareARouteAlikeAtAllGateways(t *testing.T) {
	r := Route{Targets: []Target{{"new", 10}, {"old", 90}, {"none", 0}}}
	counts := make(map[ident.Service]int)
	const n = 10000
	for i := range n {
		id := ident.Request(fmt.Sprint("r", i))
		first, again := r.Pick(id), r.Pick(id)
		if first != again {
			t.Fatal("the same request goes to two services")
		}
		counts[first]++
	}
	if counts["none"] > 0 || counts["new"] < n/20 || counts["new"] > n/5 {
		t.Errorf("shares %v", counts)
	}
}

func TestCost(t *testing.T) {
	tokens := Account{CountsTokens: true, DefaultTokens: 200}
	requests := Account{}
	for _, c := range []struct {
		account  Account
		declared bool
		want     float64
	}{{tokens, true, 1500}, {tokens, false, 200}, {requests, true, 1}, {requests, false, 1}} {
		if got := c.account.Cost(c.declared, 1500); got != c.want {
			t.Errorf("%+v declared %v: %v, want %v", c.account, c.declared, got, c.want)
		}
	}
}
