package worker

import (
	"net/http"
	"strconv"
	"time"
)

// Framing is what marks the end of an answer's body.
type Framing int

// The framings.
const (
	Length Framing = iota
	Chunks
	// UntilClose: neither a length nor chunks; the body ends with its connection.
	UntilClose
)

// Ending is how an answer is ended that was written so far.
type Ending int

// The endings.
const (
	// Whole ends the answer as its framing asks for.
	Whole Ending = iota
	// Close closes the connection in an orderly way.
	Close
	// ResetConnection resets the connection.
	ResetConnection
	// Silence keeps the connection open without writing, until the client closes it, for at most
	// a minute.
	Silence
)

// Framed is an answer in a framing.
type Framed struct {
	Framing Framing
	Status  int
	// HeaderLines are further header lines, each of which ends with CRLF.
	HeaderLines string
	Body        string
	// Piece is how many bytes are written at a time; 0 for all at once.
	Piece int
	// Sizes are the sizes of the pieces in bytes, used over and over; if there are any, Piece is
	// ignored.
	Sizes []int
	// Cut is how many bytes of the body are written before the answer is ended with Ending. It is
	// ignored for Whole.
	Cut    int
	Ending Ending
}

// AnswerFramed returns an act that runs the request and gives an answer in its framing.
func AnswerFramed(f Framed) Act {
	return func(w *Writer, _ *http.Request) {
		w.RecordRun()
		w.WriteFramed(f)
	}
}

// WriteFramed writes an answer in its framing and ends it.
func (w *Writer) WriteFramed(f Framed) {
	head := f.HeaderLines
	switch f.Framing {
	case Length:
		head += "Content-Length: " + strconv.Itoa(len(f.Body)) + "\r\n"
	case Chunks:
		head += "Transfer-Encoding: chunked\r\n"
	case UntilClose:
		head += "Connection: close\r\n"
	}
	w.Head(f.Status, head)
	body := f.Body
	if f.Ending != Whole {
		body = body[:f.Cut]
	}
	w.writePieces(f, body)
	w.end(f)
}

// writePieces writes a body in pieces; each is a chunk where the framing is Chunks.
func (w *Writer) writePieces(f Framed, body string) {
	for i := 0; len(body) > 0; i++ {
		n := f.pieceSize(i, len(body))
		if f.Framing == Chunks {
			w.Chunk(body[:n])
		} else {
			w.Raw(body[:n])
		}
		body = body[n:]
	}
}

// pieceSize returns the size of a piece, counted from 0, of which at most left bytes are left.
func (f Framed) pieceSize(i, left int) int {
	size := f.Piece
	if len(f.Sizes) > 0 {
		size = f.Sizes[i%len(f.Sizes)]
	}
	if size <= 0 {
		return left
	}
	return min(size, left)
}

func (w *Writer) end(f Framed) {
	switch f.Ending {
	case Whole:
		if f.Framing == Chunks {
			w.Raw("0\r\n\r\n")
		}
		if f.Framing == UntilClose {
			w.Close(false)
		}
	case Close:
		w.Close(false)
	case ResetConnection:
		w.Close(true)
	case Silence:
		w.WaitClosed(time.Minute)
		w.Close(false)
	}
}
