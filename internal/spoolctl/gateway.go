package spoolctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/explain"
	"github.com/goldcrestspool/goldcrestspool/internal/operatorapi"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

const (
	// gatewayTimeout is the time limit of one request to a gateway.
	gatewayTimeout = 5 * time.Second
	// maxAnswerBytes limits how much of a gateway's answer is read.
	maxAnswerBytes = 16 << 20
)

func (c *command) status(ctx context.Context, a *statusArguments) error {
	var status operatorapi.Status
	if err := queryGateway(ctx, a.Gateway, operatorapi.StatusPath, nil, &status); err != nil {
		return err
	}
	c.print(status, statusText(status))
	if !status.Ready {
		return errResultPrinted
	}
	return nil
}

func (c *command) explain(ctx context.Context, a *explainArguments) error {
	var records []explain.Record
	query := url.Values{operatorapi.RequestParameter: {a.RequestID}}
	if err := queryGateway(ctx, a.Gateway, operatorapi.ExplainPath, query, &records); err != nil {
		return err
	}
	c.print(records, explanationText(records))
	return nil
}

// queryGateway sends a GET request to a gateway's operators' address and decodes
// the JSON answer into answer.
func queryGateway(ctx context.Context, gateway, path string, query url.Values, answer any) error {
	base, err := baseURL(gateway)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, gatewayTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+path+"?"+query.Encode(), nil)
	if err != nil {
		return errcode.Wrap(errcode.InvalidArgument, err, "gateway's address")
	}
	resp, err := transport.NewClient(transport.Options{FreshConnections: true}).Do(req)
	if err != nil {
		return errcode.Wrap(errcode.Unavailable, err, "the gateway does not answer")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return errcode.Wrap(errcode.Unavailable, err, "the gateway's answer broke off")
	}
	if len(body) > maxAnswerBytes {
		return errcode.Errorf(errcode.Internal, "the gateway's answer is longer than %d bytes", maxAnswerBytes)
	}
	if resp.StatusCode != http.StatusOK {
		return errcode.Errorf(errcode.NotFound, "the gateway answers %s: %s", resp.Status, errorText(body))
	}
	return errcode.Wrap(errcode.Internal, json.Unmarshal(body, answer), "the gateway's answer is not understood")
}

// errorText returns the error message in the body of a gateway's error answer.
func errorText(body []byte) string {
	var problem operatorapi.ErrorResponse
	if err := json.Unmarshal(body, &problem); err == nil && problem.Error != "" {
		return problem.Error
	}
	return strings.TrimSpace(string(body))
}

func statusText(s operatorapi.Status) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "instance\t%s (%s)\n", s.Instance, s.FailureDomain)
	fmt.Fprintf(w, "ready\t%s\n", yesOrReason(s.Ready, s.NotReady))
	fmt.Fprintf(w, "revision\t%d\n", s.Revision)
	fmt.Fprintf(w, "log\t%s\n", yesOrReason(s.LogReachable, "not reachable"))
	fmt.Fprintf(w, "journal\t%s\n", yesOrReason(s.JournalReady, "reading its window"))
	if s.Problem != "" {
		fmt.Fprintf(w, "problem\t%s\n", s.Problem)
	}
	if s.Stopping {
		fmt.Fprintln(w, "stopping\tyes")
	}
	fmt.Fprintln(w, "\nSERVICE\tREVISION")
	for _, service := range slices.Sorted(maps.Keys(s.Services)) {
		fmt.Fprintf(w, "%s\t%d\n", service, s.Services[service])
	}
	fmt.Fprintln(w, "\nMEMBER\tROLE\tSERVICE\tFAILURE DOMAIN\tSTATE\tSINCE")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", m.ID, m.Role, m.Service, m.FailureDomain, m.State,
			m.Since.UTC().Format(time.RFC3339))
	}
	_ = w.Flush()
	return strings.TrimSuffix(b.String(), "\n")
}

func yesOrReason(ok bool, reason string) string {
	if ok {
		return "yes"
	}
	return "no: " + reason
}

// explanationText formats the requests that have the wanted ID, one for each
// client account that used it: the attempts, the reasons for each choice of
// upstream, and the outcome that was sent to the caller.
func explanationText(records []explain.Record) string {
	var b strings.Builder
	for _, r := range records {
		fmt.Fprintf(&b, "request %s of %s for %s\n", r.Request, r.Account, r.Service)
		for i, attempt := range r.Attempts {
			fmt.Fprintf(&b, "attempt %d: %s\n", i+1, attemptText(attempt))
			for _, reason := range attempt.Reasons {
				fmt.Fprintf(&b, "  %s\n", joinNonEmpty(": ", string(reason.Upstream), string(reason.Rule), reason.Detail))
			}
		}
		for _, ending := range r.Endings {
			fmt.Fprintf(&b, "told: %s\n", joinNonEmpty(", ", ending.Outcome, ending.Reason, ending.Message))
		}
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func attemptText(a explain.Attempt) string {
	upstream := string(a.Upstream)
	if upstream == "" {
		upstream = "no upstream"
	}
	return joinNonEmpty(", ", upstream, a.Cause, durationText("predicted", a.PredictedFirstToken),
		durationText("answered after", a.FirstToken), a.Error)
}

// durationText returns a label with a duration, or "" for 0, which means unknown.
func durationText(label string, d time.Duration) string {
	if d == 0 {
		return ""
	}
	return fmt.Sprintf("%s %v", label, d.Round(time.Millisecond))
}

// joinNonEmpty joins the parts that are not empty.
func joinNonEmpty(separator string, parts ...string) string {
	parts = slices.DeleteFunc(parts, func(p string) bool { return p == "" })
	return strings.Join(parts, separator)
}
