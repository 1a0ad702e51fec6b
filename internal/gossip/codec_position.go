package gossip

import "github.com/goldcrestspool/goldcrestspool/internal/ident"

// positionToProto returns a position as messages have it: by how many eras it precedes the newest one, mostly 0, which
// takes no bytes, and its offset.
func positionToProto(newest ident.Era, p ident.Position) (erasBehind, offset uint64) {
	era, offset, _ := p.Parts()
	return uint64(newest - era), offset
}

// position is the inverse of positionToProto. kept tells that the position is of what is kept against the record there.
func (c *checker) position(newest, erasBehind, offset uint64, kept bool) ident.Position {
	if erasBehind > newest {
		c.fail("position is %d eras behind era %d", erasBehind, newest)
		return ident.Position{}
	}
	p := ident.NewPosition(ident.Era(newest-erasBehind), offset)
	if kept {
		return p.Kept()
	}
	return p
}

// noneKnown stands in a report for no position: gateways that know no eras report offset 0 until they know entries.
var noneKnown = ident.NewPosition(0, 0)
