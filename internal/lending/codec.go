package lending

import (
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	exchangev1 "github.com/goldcrestspool/goldcrestspool/api/exchange/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/quota"
)

// errInvalid is the error of a message that no gateway of this build sends.
var errInvalid = errors.New("an amount is negative, infinite or not a number, or the account is missing")

// encodeRequest encodes a request for a loan. relayed is set if it is passed on for another gateway.
func encodeRequest(r quota.LoanRequest, relayed bool) ([]byte, error) {
	data, err := proto.Marshal(&exchangev1.LoanRequest{Account: string(r.Account), Cost: r.Cost, Extra: r.Extra, Returned: r.Returned, Relayed: relayed})
	return data, errors.Wrap(err, "encode a request for a loan")
}

func decodeRequest(data []byte) (r quota.LoanRequest, relayed bool, err error) {
	var in exchangev1.LoanRequest
	if err := proto.Unmarshal(data, &in); err != nil {
		return r, false, errors.Wrap(err, "decode a request for a loan")
	}
	if in.Account == "" || !isAmount(in.Cost) || !isAmount(in.Extra) || !isAmount(in.Returned) {
		return r, false, errInvalid
	}
	return quota.LoanRequest{Account: ident.ClientAccount(in.Account), Cost: in.Cost, Extra: in.Extra, Returned: in.Returned}, in.Relayed, nil
}

// encodeAnswer encodes an answer; with notKeeper, that no keeper was found.
func encodeAnswer(a quota.LoanAnswer, notKeeper bool) ([]byte, error) {
	data, err := proto.Marshal(&exchangev1.LoanAnswer{
		NotKeeper: notKeeper, Granted: a.Granted, Extra: a.Extra, AskPauseMs: uint32(a.AskPause.Milliseconds()), RetryAfterMs: uint32(a.RetryAfter.Milliseconds()), Level: a.Level, Need: a.Need,
	})
	return data, errors.Wrap(err, "encode the answer to a request for a loan")
}

// decodeAnswer decodes an answer. It returns quota.ErrNotKeeper if no keeper was found.
func decodeAnswer(data []byte) (quota.LoanAnswer, error) {
	var in exchangev1.LoanAnswer
	if err := proto.Unmarshal(data, &in); err != nil {
		return quota.LoanAnswer{}, errors.Wrap(err, "decode the answer to a request for a loan")
	}
	if in.NotKeeper {
		return quota.LoanAnswer{}, quota.ErrNotKeeper
	}
	if !isAmount(in.Extra) || math.IsNaN(in.Level) || !isAmount(in.Need) {
		return quota.LoanAnswer{}, errInvalid
	}
	return quota.LoanAnswer{
		Granted: in.Granted, Extra: in.Extra, AskPause: milliseconds(in.AskPauseMs), RetryAfter: milliseconds(in.RetryAfterMs), Level: in.Level, Need: in.Need,
	}, nil
}

func isAmount(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
