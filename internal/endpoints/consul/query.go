package consul

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
)

const (
	msPerSecond = 1000
	// maxHeaderSeconds bounds the times in headers, so that an agent cannot stop a watch for longer.
	maxHeaderSeconds = 3600
	// maxLastContactMs bounds the time since the last contact that an agent may report.
	maxLastContactMs = 1e12
	// maxDrainedBytes is how much of the unread rest of a response is read so that its connection can be reused.
	maxDrainedBytes = 4096
)

// url returns the URL of a query at its agent.
func (s *Source) url(service string, query Query) string {
	scheme, path := "http", "/v1/health/service/"
	if s.options.TLS != nil {
		scheme = "https"
	}
	if s.options.CatalogOnly {
		path = "/v1/catalog/service/"
	}
	parameters := url.Values{}
	if query.Index > 0 {
		parameters.Set("index", strconv.FormatUint(query.Index, 10))
		parameters.Set("wait", strconv.Itoa(int(query.WaitMs))+"ms")
	}
	optional := map[string]string{
		"dc":        s.options.Datacenter,
		"ns":        s.options.Namespace,
		"partition": s.options.Partition,
		"filter":    s.options.Filter,
	}
	for key, value := range optional {
		if value != "" {
			parameters.Set(key, value)
		}
	}
	if s.options.Consistency != "" {
		parameters.Set(s.options.Consistency, "")
	}
	address := url.URL{Scheme: scheme, Host: s.options.Agents[query.Agent], Path: path + service, RawQuery: parameters.Encode()}
	return address.String()
}

// query sends one query. If it fails, the error is in the response's Err.
func (w *watcher) query(ctx context.Context, query Query) ([]Instance, Response) {
	s := w.source
	ctx, cancel := context.WithTimeout(ctx, milliseconds(query.TimeoutMs()))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url(w.service, query), nil)
	if err != nil {
		return nil, Response{Err: err}
	}
	if token := *s.token.Load(); token != "" {
		request.Header.Set("X-Consul-Token", token)
	}
	httpResponse, err := s.client.Do(request)
	if err != nil {
		return nil, Response{Err: queryError(ctx, query, err)}
	}
	defer func() {
		_, _ = io.CopyN(io.Discard, httpResponse.Body, maxDrainedBytes)
		_ = httpResponse.Body.Close()
	}()
	response := responseFromHTTP(httpResponse)
	if response.Status != http.StatusOK {
		return nil, response
	}
	body := &limitedReader{reader: httpResponse.Body, remaining: s.options.MaxResponseBytes}
	instances, err := Parse(body, !s.options.CatalogOnly)
	s.bytesRead.Add(s.options.MaxResponseBytes - body.remaining)
	response.Err = err
	return instances, response
}

// queryError returns the error of a query without its URL, as notes name the agent and the service already.
func queryError(ctx context.Context, query Query, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fmt.Errorf("no answer within %.0f s", query.TimeoutMs()/msPerSecond)
	}
	var urlError *url.Error
	if errors.As(err, &urlError) {
		return urlError.Err
	}
	return err
}

// responseFromHTTP reads the status and the headers of an agent's response.
func responseFromHTTP(httpResponse *http.Response) Response {
	response := Response{
		Status:        httpResponse.StatusCode,
		Leaderless:    httpResponse.Header.Get("X-Consul-KnownLeader") == "false",
		RetryAfterMs:  headerMillis(httpResponse.Header.Get("Retry-After")),
		LastContactMs: min(nonNegative(httpResponse.Header.Get("X-Consul-LastContact")), maxLastContactMs),
	}
	if ageMs := headerMillis(httpResponse.Header.Get("Age")); ageMs > 0 { // the response is from the agent's cache
		response.LastContactMs += ageMs
	}
	response.Index, _ = strconv.ParseUint(httpResponse.Header.Get("X-Consul-Index"), 10, 64) // 0 if the header is missing or malformed
	return response
}

// nonNegative parses a number, and returns 0 if it is negative or malformed.
func nonNegative(text string) float64 {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || !(number > 0) {
		return 0
	}
	return number
}

// headerMillis parses a header's seconds, and returns them as milliseconds.
func headerMillis(text string) float64 { return min(nonNegative(text), maxHeaderSeconds) * msPerSecond }
