package platform

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"chivespindle.example/adapters/exchange"
	"chivespindle.example/core/defaults"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/revision"
)

const (
	// MaxTextBytes is the largest value that the platform holds.
	MaxTextBytes = 1 << 20
	// DefaultWait is how long a watch asks the service to wait.
	DefaultWait = 30 * time.Second
	// DefaultMargin is what a watch allows beyond its wait.
	DefaultMargin = 5 * time.Second

	configPath     = "/v1/config"
	revisionHeader = "Config-Revision"
)

// ConfigOptions shapes a ConfigSource. Zero fields get their defaults.
type ConfigOptions struct {
	// BaseURL is the address of the service by IP number, such as
	// "http://127.0.0.1:7001".
	BaseURL string
	// Client sends the requests; nil for one of its own. Its Timeout must be
	// 0 or longer than Wait and Margin together.
	Client *http.Client
	// Timeout bounds a Read; DefaultTimeout.
	Timeout time.Duration
	// Wait is how long a Watch may wait at the service; DefaultWait.
	Wait time.Duration
	// Margin is how much longer than Wait a Watch lasts before it fails;
	// DefaultMargin. It covers a service that never answers.
	Margin time.Duration
}

// ConfigSource reads the platform's configuration service. It implements
// revision.Source and is safe for use by many goroutines.
type ConfigSource struct {
	*client
	timeout time.Duration
	wait    time.Duration
	margin  time.Duration

	mu   sync.Mutex
	last revision.Document // the last document that the service gave
}

var _ revision.Source = (*ConfigSource)(nil)

// NewConfigSource returns a source; failure.Invalid if the options are wrong.
// It makes no call.
func NewConfigSource(options ConfigOptions) (*ConfigSource, error) {
	client, err := newClient(options.BaseURL, options.Client)
	if err != nil {
		return nil, err
	}
	return &ConfigSource{
		client:  client,
		timeout: defaults.Or(options.Timeout, DefaultTimeout),
		wait:    defaults.Or(options.Wait, DefaultWait),
		margin:  defaults.Or(options.Margin, DefaultMargin),
	}, nil
}

// Read returns the document that the service holds now. The caller must not
// change its text.
func (s *ConfigSource) Read(ctx context.Context) (revision.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.fetch(ctx, call{path: configPath})
}

// Watch waits until the service answers with a revision other than after, or
// its wait ends; then it returns the unchanged document. That answer has no
// body, since an idle watch would otherwise carry the whole text each time:
// the text comes from the last answer, or from a Read if that was another
// revision.
//
// after should be the revision that the service last gave, not the one in
// force: a stale service answers at once otherwise, and the watch spins.
func (s *ConfigSource) Watch(ctx context.Context, after revision.Revision) (revision.Document, error) {
	waiting, cancel := context.WithTimeout(ctx, s.wait+s.margin)
	defer cancel()
	path := fmt.Sprintf("%s?after=%d&wait=%s", configPath, after, s.wait)
	document, err := s.fetch(waiting, call{path: path, conditional: true})
	if err != nil || document.Revision != 0 {
		return document, err
	}
	if last := s.lastDocument(); last.Revision == after {
		return last, nil
	}
	return s.Read(ctx)
}

// fetch returns the zero document for an answer without change.
func (s *ConfigSource) fetch(ctx context.Context, call call) (revision.Document, error) {
	response, err := s.get(ctx, call)
	if err != nil {
		return revision.Document{}, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return revision.Document{}, nil
	}
	if !exchange.EndIsFramed(response) {
		return revision.Document{}, failure.Unavailable.New("%s answered without a length or chunks", call.path)
	}
	number, err := parseRevision(response.Header.Get(revisionHeader))
	if err != nil {
		return revision.Document{}, err
	}
	text, err := readBody(ctx, response, MaxTextBytes, call.path)
	if err != nil {
		return revision.Document{}, err
	}
	document := revision.Document{Revision: number, Text: text}
	s.keep(document)
	return document, nil
}

func (s *ConfigSource) keep(document revision.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = document
}

func (s *ConfigSource) lastDocument() revision.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

func parseRevision(header string) (revision.Revision, error) {
	number, err := strconv.ParseUint(header, 10, 64)
	if err != nil || number == 0 {
		return 0, failure.Corrupt.New("header %s is %q, want a number above 0", revisionHeader, header)
	}
	return revision.Revision(number), nil
}
