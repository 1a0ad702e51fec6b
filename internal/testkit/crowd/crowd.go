// Package crowd plays clients that don't behave against a process under test, and watches what
// they make it hold. Only test files import it.
package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Shape is what all clients of one crowd send.
type Shape struct {
	Name    string
	Clients int
	// Head is the request up to its framing, without the empty line that ends it. IDPlaceholder in it
	// stands for the request's ID.
	Head string
	// Framing is the header line that frames the body, without its end; empty for none.
	Framing string
	// HeadStops: the client stops before the empty line that ends the head.
	HeadStops bool
	// BodyStart is what the body begins with, before BodyBytes more of it.
	BodyStart string
	// BodyBytes is how many bytes of the body are sent; Endless for as long as the connection lasts. A
	// chunked body is never ended.
	BodyBytes int
	// ChunkBytes is the length of each chunk; 0 sends the body without chunks.
	ChunkBytes int
	// Again: a client whose connection ended connects again, and sends the same once more.
	Again bool
}

// Chunked is the framing of a body in chunks.
const Chunked = "Transfer-Encoding: chunked"

// ByLength is the framing of a body whose length is announced.
func ByLength(bytes int) string { return lengthHeader + strconv.Itoa(bytes) }

const lengthHeader = "Content-Length: "

const (
	// IDPlaceholder stands for the ID of a request.
	IDPlaceholder = "ID"
	// Endless is the length of a body without end.
	Endless = -1
	// pieceBytes is how much is written at a time.
	pieceBytes = 64 << 10
	// againAfter is how long a client waits before it connects again.
	againAfter = 50 * time.Millisecond
	// idPrefix begins the IDs of all requests of a crowd.
	idPrefix = "crowd-"
)

// IsCrowd reports whether a request's ID is one of a crowd.
func IsCrowd(id string) bool { return strings.HasPrefix(id, idPrefix) }

// head returns the head of the request with an ID.
func (s Shape) head(id string) string {
	head := strings.ReplaceAll(s.Head, IDPlaceholder, id)
	if s.Framing != "" {
		head += s.Framing + "\r\n"
	}
	if s.HeadStops {
		return head
	}
	return head + "\r\n"
}

// Crowd is a crowd that has come. Create it with Start.
type Crowd struct {
	shape   Shape
	address string
	left    chan struct{}
	work    sync.WaitGroup

	mu       sync.Mutex
	conns    map[net.Conn]bool
	gone     bool
	statuses map[int]int
}

// Start lets all clients of a shape connect to an address.
func Start(address string, shape Shape) *Crowd {
	c := &Crowd{shape: shape, address: address, left: make(chan struct{}), conns: make(map[net.Conn]bool), statuses: make(map[int]int)}
	for i := range shape.Clients {
		c.work.Go(func() { c.stay(i) })
	}
	return c
}

// Leave closes the connections of all clients, waits for them, and returns how many answers they got,
// by status.
func (c *Crowd) Leave() map[int]int {
	c.mu.Lock()
	c.gone = true
	close(c.left)
	for conn := range c.conns {
		_ = conn.Close() // may be closed already
	}
	c.mu.Unlock()
	c.work.Wait()
	return c.statuses
}

// stay lets one client connect until the crowd leaves.
func (c *Crowd) stay(client int) {
	for n := 0; ; n++ {
		c.connect(fmt.Sprintf("%s%d-%d", idPrefix, client, n))
		if !c.shape.Again {
			return
		}
		select {
		case <-c.left:
			return
		case <-time.After(againAfter):
		}
	}
}

// connect sends one request and keeps its connection until either side closes it.
func (c *Crowd) connect(id string) {
	conn, err := net.Dial("tcp", c.address)
	if err != nil || !c.keep(conn) {
		return // the process turns clients away, or the crowd has left
	}
	defer c.drop(conn)
	var reading sync.WaitGroup
	reading.Go(func() { c.readAnswer(conn) })
	if _, err := io.WriteString(conn, c.shape.head(id)); err == nil {
		c.sendBody(conn)
	}
	reading.Wait()
}

// keep adds a connection to those that Leave closes, unless the crowd has left.
func (c *Crowd) keep(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		_ = conn.Close() // nothing was sent
		return false
	}
	c.conns[conn] = true
	return true
}

func (c *Crowd) drop(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
	_ = conn.Close() // may be closed already
}

// readAnswer reads one answer and then until the connection ends.
func (c *Crowd) readAnswer(conn net.Conn) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.statuses[response.StatusCode]++
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, response.Body) // how the connection ends doesn't matter
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close() // so that the writer ends too
}

// sendBody sends as much of the body as the shape says, until a write fails.
func (c *Crowd) sendBody(conn net.Conn) {
	piece, content := c.shape.piece()
	if content == 0 {
		return
	}
	if _, err := conn.Write(c.shape.frame(c.shape.BodyStart)); err != nil {
		return
	}
	left := c.shape.BodyBytes
	for c.shape.BodyBytes == Endless || left >= content {
		if _, err := conn.Write(piece); err != nil {
			return
		}
		left -= content
	}
	_, _ = conn.Write(c.shape.frame(filler(left))) // the last part; the connection may have ended
}

// piece returns what is written at a time, and how many bytes of the body it holds.
func (s Shape) piece() (framed []byte, content int) {
	switch {
	case s.BodyBytes == 0:
		return nil, 0
	case s.ChunkBytes == 0:
		return bytes.Repeat([]byte("x"), pieceBytes), pieceBytes
	}
	chunk := s.frame(filler(s.ChunkBytes))
	chunks := max(1, pieceBytes/len(chunk))
	return bytes.Repeat(chunk, chunks), chunks * s.ChunkBytes
}

// filler returns so many bytes of a body; none if there are less than one.
func filler(n int) string { return strings.Repeat("x", max(n, 0)) }

// frame returns a part of the body, as one chunk if the body is chunked.
func (s Shape) frame(part string) []byte {
	if s.ChunkBytes == 0 || part == "" {
		return []byte(part)
	}
	return fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
}

// Mixed returns shapes that are drawn by a seed: clients of several kinds that come together, as many as
// clients. Each of them is one of the shapes with another length and other chunks, up to mostBytes.
func Mixed(seed uint64, clients, mostBytes int, shapes []Shape) []Shape {
	rng := rand.New(rand.NewPCG(seed, 0))
	drawn := make([]Shape, 0, len(shapes))
	for i, s := range shapes {
		s.Clients = clients / len(shapes)
		if s.BodyBytes > 0 && !strings.HasPrefix(s.Framing, lengthHeader) {
			s.BodyBytes = 1 + rng.IntN(mostBytes)
		}
		if s.ChunkBytes > 0 {
			s.ChunkBytes = 1 << rng.IntN(17)
		}
		s.Again = rng.IntN(2) == 0
		s.Name = fmt.Sprint("drawn ", i, " of ", s.Name)
		drawn = append(drawn, s)
	}
	return drawn
}
