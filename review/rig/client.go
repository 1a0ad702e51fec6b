package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Answer is what a client got.
type Answer struct {
	Status    int
	Signature string
	Body      []byte
	// Complete: the answer reached the end that its framing states.
	Complete bool
	// Close: the connection can't be used any more.
	Close bool
	Err   error
	Took  time.Duration
}

// Conn is a client's connection.
type Conn struct {
	net.Conn
	r *bufio.Reader
}

// dial opens a client's connection; clients allow one second for that.
func dial(address string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{c, bufio.NewReader(c)}, nil
}

// head returns the head of a request.
func head(method, host, path, id string, deadlineMs int, fields ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\nAuthorization: Bearer %s\r\n", method, path, host, id, deadlineMs, apiKey)
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	return b.String()
}

// answer reads the answer to a request, until a time.
func (c *Conn) answer(method string, begun, until time.Time) (a Answer) {
	defer func() { a.Took = time.Since(begun) }()
	c.SetReadDeadline(until)
	response, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err, Close: true}
	}
	defer response.Body.Close()
	a.Status, a.Signature, a.Close = response.StatusCode, response.Header.Get("X-Response-Signature"), response.Close
	a.Body, err = io.ReadAll(response.Body)
	a.Complete, a.Err = err == nil, err
	if err != nil {
		a.Close = true
	}
	return a
}
