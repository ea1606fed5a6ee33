package group

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/wait"
)

const (
	publishRetryInterval = 500 * time.Millisecond // Between attempts while no revision is known or the replicas have no majority.
	inForceWaitMS        = 10_000                 // Maximum wait until a revision is in force at one entry VM.
)

// Publish puts a profile's declaration (JSON) and sets it as the service's profile, as an operator would. It
// returns when both are in force at every entry VM.
func (g *Group) Publish(ctx context.Context, profile string, declaration []byte, service string) error {
	if err := g.put(ctx, "/v1/profiles/"+profile, declaration); err != nil {
		return err
	}
	if err := g.put(ctx, "/v1/services/"+service, fmt.Appendf(nil, `{"profile":%q}`, profile)); err != nil {
		return err
	}
	revision, err := g.revision(ctx)
	if err != nil {
		return err
	}
	for _, m := range g.members {
		path := fmt.Sprintf("/v1/profiles?after=%d&wait_ms=%d", revision-1, inForceWaitMS)
		status, header, body, err := g.sendToOperators(ctx, http.MethodGet, m.Listen.Operators, path, nil, nil)
		if err != nil {
			return err
		}
		if got, err := revisionOf(header); status != http.StatusOK || err != nil || got < revision {
			return errors.Newf("profile is not in force at %s: status %d: %s", m.Node, status, body)
		}
	}
	return nil
}

// put sends one edit and retries it while the replicas can't accept any.
func (g *Group) put(ctx context.Context, path string, body []byte) error {
	key := rand.Text()
	for {
		revision, err := g.revision(ctx)
		if err != nil {
			return err
		}
		headers := http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(revision, 10))}, "Idempotency-Key": {key}}
		status, _, answer, err := g.sendToOperators(ctx, http.MethodPut, g.members[0].Listen.Operators, path, headers, body)
		switch {
		case err != nil:
			return err
		case status == http.StatusOK:
			return nil
		case status != http.StatusServiceUnavailable:
			return errors.Newf("%s: status %d: %s", path, status, answer)
		}
		if !wait.For(ctx, publishRetryInterval) {
			return ctx.Err()
		}
	}
}

// revision returns the newest revision that the first entry VM has learned. It waits until there is one.
func (g *Group) revision(ctx context.Context) (uint64, error) {
	for {
		status, header, body, err := g.sendToOperators(ctx, http.MethodGet, g.members[0].Listen.Operators, "/v1/profiles", nil, nil)
		switch {
		case err != nil:
			return 0, err
		case status == http.StatusOK:
			return revisionOf(header)
		case status != http.StatusServiceUnavailable:
			return 0, errors.Newf("profiles: status %d: %s", status, body)
		}
		if !wait.For(ctx, publishRetryInterval) {
			return 0, ctx.Err()
		}
	}
}

func revisionOf(header http.Header) (uint64, error) {
	text, err := strconv.Unquote(header.Get("ETag"))
	if err != nil {
		return 0, errors.Wrap(err, "ETag")
	}
	return strconv.ParseUint(text, 10, 64)
}

func (g *Group) sendToOperators(ctx context.Context, method, address, path string, headers http.Header, body []byte) (int, http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, errors.Wrap(err, "operator")
	}
	for name, values := range headers {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, nil, errors.Wrap(err, "operator")
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, answer, errors.Wrap(err, "operator")
}
