package membudget

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// maxAccountLines bounds the accounts that WriteMetrics names: those that hold the most.
const maxAccountLines = 10

// WriteMetrics prints the state as text, one metric per line.
func (b *Budget) WriteMetrics(w io.Writer) {
	s := b.State()
	fmt.Fprintf(w, "callers_memory_bytes %d\ncallers_memory_limit_bytes %d\ncallers_connections %d\ncallers_connections_limit %d\n", s.Bytes, s.Limit, s.Connections, s.MaxConnections)
	fmt.Fprintf(w, "callers_requests{state=\"arriving\"} %d\ncallers_requests{state=\"answered\"} %d\n", s.Arriving, s.Answered)
	fmt.Fprintf(w, "callers_requests_yielded_total %d\ncallers_requests_without_room_total %d\ncallers_connections_yielded_total %d\ncallers_connections_refused_total %d\n",
		s.RequestsYielded, s.RequestsRefused, s.ConnectionsYielded, s.ConnectionsRefused)
	for _, account := range s.largest() {
		fmt.Fprintf(w, "callers_account_bytes{account=%q} %d\n", account, s.ByAccount[account])
	}
}

// largest returns the accounts that hold the most, at most maxAccountLines.
func (s State) largest() []ident.ClientAccount {
	accounts := make([]ident.ClientAccount, 0, len(s.ByAccount))
	for account := range s.ByAccount {
		accounts = append(accounts, account)
	}
	slices.SortFunc(accounts, func(x, y ident.ClientAccount) int {
		return cmp.Or(cmp.Compare(s.ByAccount[y], s.ByAccount[x]), cmp.Compare(x, y))
	})
	return accounts[:min(len(accounts), maxAccountLines)]
}
