package spoolctl

import (
	"context"
	"fmt"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// startOver writes an empty snapshot, from which new processes begin. Without
// it, documents that are in no snapshot and that no process knows any more would
// keep every new process from getting ready, and every publication from being
// decided: nobody can tell what was in force.
//
// A process that still knows documents takes no snapshot that lacks them, so a
// mistake reverts nothing; its services only have to be published again.
func (c *command) startOver(ctx context.Context, a *startOverArguments) error {
	s, err := a.openStream()
	if err != nil {
		return err
	}
	covers, err := s.startOver(ctx, a.Confirm)
	if err != nil {
		return err
	}
	c.print(struct {
		Covers ident.Offset `json:"covers"`
	}{covers}, fmt.Sprintf("no documents up to offset %d; publish all services again", covers))
	return nil
}

func (s *configStream) startOver(ctx context.Context, confirmed bool) (ident.Offset, error) {
	err := s.readToHead(ctx)
	if err == nil {
		return 0, errcode.New(errcode.FailedPrecondition, "the documents are not lost; nothing was done")
	}
	if !s.reader.Searching() {
		return 0, err
	}
	if !confirmed {
		return 0, errcode.Wrap(errcode.InvalidArgument, err, "--confirm is needed")
	}
	covers := s.reader.Head()
	record, err := document.EncodeSnapshot(document.EmptyState(covers))
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	// An answer that was lost is no matter: what counts is whether the stream
	// can be read now.
	_, _ = s.log.Append(ctx, document.StreamName, [][]byte{record})
	return covers, s.readToHead(ctx)
}
