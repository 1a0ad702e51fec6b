package streaming

import (
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// idleEntries holds the entries without a caller by client account, each
// account's longest idle one first.
type idleEntries struct {
	byAccount map[ident.ClientAccount][]*entry
}

func newIdleEntries() idleEntries {
	return idleEntries{byAccount: make(map[ident.ClientAccount][]*entry)}
}

func (i idleEntries) add(e *entry) {
	account := e.req.Key.Account
	i.byAccount[account] = append(i.byAccount[account], e)
}

func (i idleEntries) remove(e *entry) {
	account := e.req.Key.Account
	rest := slices.DeleteFunc(i.byAccount[account], func(o *entry) bool { return o == e })
	if len(rest) == 0 {
		delete(i.byAccount, account)
		return
	}
	i.byAccount[account] = rest
}

func (i idleEntries) count(account ident.ClientAccount) int { return len(i.byAccount[account]) }

// oldest returns the account's entry that has been idle longest. There must be
// one.
func (i idleEntries) oldest(account ident.ClientAccount) *entry { return i.byAccount[account][0] }

// largest returns the account with the most idle entries; false if there are
// none.
func (i idleEntries) largest() (ident.ClientAccount, bool) {
	var largest ident.ClientAccount
	most := 0
	for account, entries := range i.byAccount {
		if len(entries) > most {
			largest, most = account, len(entries)
		}
	}
	return largest, most > 0
}
