package spoolctl

import (
	"context"
	"fmt"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// startOver appends an empty snapshot, from which new processes begin. It is
// needed when the records of documents have expired, no snapshot contains them
// and no running process knows them: nobody can tell what was in force, so that
// no new process would get ready and no publication would be decided.
//
// A process that still knows documents accepts no snapshot that lacks them, so a
// start-over by mistake reverts nothing; the services only have to be published
// again.
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
	// The append's error is ignored: its answer may have been lost. What counts
	// is whether the stream can be read now.
	_, _ = s.log.Append(ctx, document.StreamName, [][]byte{record})
	return covers, s.readToHead(ctx)
}
