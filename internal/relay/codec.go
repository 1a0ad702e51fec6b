package relay

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	exchangev1 "github.com/goldcrestspool/goldcrestspool/api/exchange/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// request is a request that one gateway passes to another.
type request struct {
	// From is the gateway that sends it.
	From ident.Instance
	// Upstream and Address name the upstream.
	Upstream ident.Instance
	Address  string
	// TimeLeft is how much longer the caller waits.
	TimeLeft time.Duration
	// ID is the ID of the caller's request.
	ID ident.Request
	// ConnectOnly: only a connection is opened, and HTTP is not used.
	ConnectOnly bool
	HTTP        httpconn.Request
}

func (r *request) encode() ([]byte, error) {
	out := &exchangev1.RelayRequest{
		From: string(r.From), Upstream: string(r.Upstream), Address: r.Address, TimeLeftMs: uint32(max(0, r.TimeLeft.Milliseconds())), Id: []byte(r.ID),
		ConnectOnly: r.ConnectOnly, Method: []byte(r.HTTP.Method), Uri: []byte(r.HTTP.URI), Host: []byte(r.HTTP.Host), Body: r.HTTP.Body,
	}
	for name, values := range r.HTTP.Header {
		field := &exchangev1.RelayField{Name: name}
		for _, value := range values {
			field.Values = append(field.Values, []byte(value))
		}
		out.Header = append(out.Header, field)
	}
	data, err := proto.Marshal(out)
	return data, errors.Wrap(err, "encode a request to be relayed")
}

func decodeRequest(data []byte) (*request, error) {
	var in exchangev1.RelayRequest
	if err := proto.Unmarshal(data, &in); err != nil {
		return nil, errors.Wrap(err, "decode a request to be relayed")
	}
	r := &request{
		From: ident.Instance(in.From), Upstream: ident.Instance(in.Upstream), Address: in.Address, TimeLeft: time.Duration(in.TimeLeftMs) * time.Millisecond,
		ID: ident.Request(in.Id), ConnectOnly: in.ConnectOnly,
		HTTP: httpconn.Request{Method: string(in.Method), URI: string(in.Uri), Host: string(in.Host), Header: make(http.Header, len(in.Header)), Body: in.Body},
	}
	for _, field := range in.Header {
		for _, value := range field.Values {
			r.HTTP.Header[field.Name] = append(r.HTTP.Header[field.Name], string(value))
		}
	}
	if !r.valid() {
		return nil, errInvalid
	}
	return r, nil
}

// errInvalid is the error of a request that no gateway of this build sends.
var errInvalid = errors.New("a name is missing, or a line of the request holds a line break")

// valid reports whether the request names its upstream, and writes no further line into the request
// that is sent there.
func (r *request) valid() bool {
	if r.From == "" || r.Upstream == "" || r.Address == "" {
		return false
	}
	if r.ConnectOnly {
		return true
	}
	for name, values := range r.HTTP.Header {
		if name == "" || strings.ContainsAny(name, "\r\n: ") || strings.ContainsAny(strings.Join(values, ""), "\r\n") {
			return false
		}
	}
	return r.HTTP.Method != "" && strings.HasPrefix(r.HTTP.URI, "/") && !strings.ContainsAny(r.HTTP.Method+r.HTTP.URI+r.HTTP.Host, "\r\n ")
}

// encodeEnd returns the value of fieldEnd.
func encodeEnd(end completion.End, worthAsking bool) string {
	return strconv.Itoa(int(end.Framing)) + " " + strconv.Itoa(int(end.Ending)) + " " + strconv.FormatBool(worthAsking)
}

// decodeEnd reads the value of fieldEnd. It returns false if there is none that is valid.
func decodeEnd(text string) (end completion.End, worthAsking, ok bool) {
	words := strings.Fields(text)
	if len(words) != 3 {
		return end, false, false
	}
	framing, errFraming := strconv.Atoi(words[0])
	ending, errEnding := strconv.Atoi(words[1])
	worthAsking, errAsking := strconv.ParseBool(words[2])
	if errFraming != nil || errEnding != nil || errAsking != nil {
		return end, false, false
	}
	end = completion.End{Framing: completion.Framing(framing), Ending: completion.Ending(ending)}
	return end, worthAsking, end.Framing.Valid() && end.Ending.Valid()
}
