package spoolctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/report"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

const (
	// gatewayTimeout bounds one question to a gateway.
	gatewayTimeout = 5 * time.Second
	// maxAnswer bounds a gateway's answer.
	maxAnswer = 16 << 20
)

func (c *command) status(ctx context.Context, a *statusArguments) error {
	var status report.Status
	if err := ask(ctx, a.Gateway, report.StatusPath, nil, &status); err != nil {
		return err
	}
	c.print(status, statusText(status))
	if !status.Ready {
		return errTold
	}
	return nil
}

func (c *command) explain(ctx context.Context, a *explainArguments) error {
	var explanation report.Explanation
	query := url.Values{report.RequestParameter: {a.RequestID}}
	if err := ask(ctx, a.Gateway, report.ExplainPath, query, &explanation); err != nil {
		return err
	}
	c.print(explanation, explanationText(explanation))
	return nil
}

// ask gets one page of a gateway's operators' address.
func ask(ctx context.Context, gateway, path string, query url.Values, answer any) error {
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
	resp, err := transport.NewClient(transport.Options{}).Do(req)
	if err != nil {
		return errcode.Wrap(errcode.Unavailable, err, "the gateway does not answer")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return errcode.Wrap(errcode.Unavailable, err, "the gateway's answer broke off")
	}
	if resp.StatusCode != http.StatusOK {
		return errcode.Errorf(errcode.NotFound, "the gateway answers %s: %s",
			resp.Status, strings.TrimSpace(string(body)))
	}
	return errcode.Wrap(errcode.Internal, json.Unmarshal(body, answer), "the gateway's answer is not understood")
}

func statusText(s report.Status) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "instance\t%s (%s)\n", s.Instance, s.FailureDomain)
	fmt.Fprintf(w, "ready\t%s\n", yesOr(s.Ready, s.Reason))
	fmt.Fprintf(w, "revision\t%d\n", s.Revision)
	fmt.Fprintf(w, "log\t%s\n", yesOr(s.LogReachable, "not reachable"))
	if s.Problem != "" {
		fmt.Fprintf(w, "problem\t%s\n", s.Problem)
	}
	if s.Stopping {
		fmt.Fprintln(w, "stopping\tyes")
	}
	fmt.Fprintln(w, "\nSERVICE\tKIND\tREVISION")
	for _, service := range s.Services {
		fmt.Fprintf(w, "%s\t%s\t%d\n", service.Name, service.Kind, service.Revision)
	}
	fmt.Fprintln(w, "\nMEMBER\tROLE\tSERVICE\tFAILURE DOMAIN\tSTATE\tADDRESS")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", m.ID, m.Role, m.Service, m.FailureDomain, m.State, m.Address)
	}
	_ = w.Flush()
	return strings.TrimSuffix(b.String(), "\n")
}

func yesOr(ok bool, reason string) string {
	if ok {
		return "yes"
	}
	return "no: " + reason
}

func explanationText(e report.Explanation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s of %s: %s\n", e.RequestID, e.Service, outcomeOr(e.Outcome))
	for i, attempt := range e.Attempts {
		fmt.Fprintf(&b, "attempt %d: %s\n", i+1, attemptText(attempt))
		for _, r := range attempt.Reasons {
			fmt.Fprintf(&b, "  %s\n", strings.Join(nonEmpty(r.Upstream, r.Rule, r.Detail), ": "))
		}
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func outcomeOr(outcome string) string {
	if outcome == "" {
		return "in progress"
	}
	return outcome
}

func attemptText(a report.Attempt) string {
	if a.Upstream == "" {
		return "no upstream"
	}
	text := a.Upstream
	if a.PredictedFirstToken > 0 {
		text += fmt.Sprintf(", first token predicted after %v", a.PredictedFirstToken)
	}
	if a.ActualFirstToken > 0 {
		text += fmt.Sprintf(", came after %v", a.ActualFirstToken)
	}
	return text
}

func nonEmpty(parts ...string) []string {
	var kept []string
	for _, p := range parts {
		if p != "" {
			kept = append(kept, p)
		}
	}
	return kept
}
