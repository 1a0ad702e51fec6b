package entry

import (
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// board is the blackboard of an entry process. Each section has one writer.
type board struct {
	// table is the operators' configuration; nil until one is known. configFollower
	// writes it.
	table *blackboard.Section[*routetable.Table]
	// upstreams is the view of all upstreams. upstreamsFollower writes it.
	upstreams *blackboard.Section[*directory.View]
}

func newBoard() *board {
	return &board{
		table:     blackboard.NewSection[*routetable.Table](nil),
		upstreams: blackboard.NewSection(directory.NewView(nil)),
	}
}
