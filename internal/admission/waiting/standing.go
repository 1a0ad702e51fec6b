package waiting

import (
	"strings"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// standing is what a configuration says about a call that was accepted under an earlier one.
type standing struct {
	// block is why the call may not go on waiting; 0 if it may.
	block    forward.Block
	priority int
}

// Standing returns why a call that was accepted under an earlier configuration may not go on in the present one;
// 0 if it may.
func (r *Room) Standing(call *forward.Call) forward.Block {
	return standingOf(call, r.cfg.Table()).block
}

// standingOf returns the standing of a call in a configuration; a nil table changes nothing.
func standingOf(call *forward.Call, table *routetable.Table) standing {
	if table == nil {
		return standing{priority: call.Priority}
	}
	path, _, _ := strings.Cut(call.URI, "?")
	route := table.Route(call.Host, path)
	if route == nil || table.Service(call.Service.Name) == nil {
		return standing{block: forward.BlockedByRoute}
	}
	if route.Public || !table.NeedsKeys() {
		return standing{priority: route.PriorityOf(nil)}
	}
	account := table.AccountByKey(call.Key)
	if account == nil || account.Name != call.Account {
		return standing{block: forward.BlockedByKey}
	}
	return standing{priority: route.PriorityOf(account)}
}
