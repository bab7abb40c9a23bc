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
	// MaxConfigBytes is the largest configuration that the platform stores.
	MaxConfigBytes = 1 << 20
	// DefaultWait is how long the service holds a watch without a change.
	DefaultWait = 30 * time.Second
	// DefaultMargin is how much longer than its wait a watch may take.
	DefaultMargin = 5 * time.Second

	configPath     = "/v1/config"
	revisionHeader = "Config-Revision"
)

// ConfigOptions configures a ConfigSource. Zero fields select the defaults.
type ConfigOptions struct {
	// BaseURL is the address of the service with an IP address as its host, such as
	// "http://127.0.0.1:7001".
	BaseURL string
	// Client sends the requests; nil creates a new one. Its Timeout must be 0 or
	// longer than Wait and Margin together.
	Client *http.Client
	// Timeout limits a Read; the default is DefaultTimeout.
	Timeout time.Duration
	// Wait is how long the service may hold a Watch; the default is DefaultWait.
	Wait time.Duration
	// Margin is how much longer than Wait a Watch may take before it fails, in case
	// the service never responds; the default is DefaultMargin.
	Margin time.Duration
}

// ConfigSource reads the platform's configuration service. It implements
// revision.Source and is safe for concurrent use.
type ConfigSource struct {
	*client
	timeout time.Duration
	wait    time.Duration
	margin  time.Duration

	mu   sync.Mutex
	last revision.Document // last document that the service returned
}

var _ revision.Source = (*ConfigSource)(nil)

// NewConfigSource returns a source, or failure.Invalid if the options are invalid.
// It sends no request.
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

// Read returns the current document of the service. The caller must not modify its
// text.
func (s *ConfigSource) Read(ctx context.Context) (revision.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.fetch(ctx, call{path: configPath})
}

// Watch waits until the service has a revision other than after, or its wait ends;
// then it returns the unchanged document. The response to an unchanged watch has no
// body, so that an idle watch does not transfer the complete text each time: the
// text is that of the last response, or of a Read if that was another revision.
//
// after should be the revision that the service returned last, not the active one.
// Otherwise a service that returns an outdated revision responds immediately and
// the watch becomes a busy loop.
func (s *ConfigSource) Watch(ctx context.Context, after revision.Revision) (revision.Document, error) {
	watchCtx, cancel := context.WithTimeout(ctx, s.wait+s.margin)
	defer cancel()
	path := fmt.Sprintf("%s?after=%d&wait=%s", configPath, after, s.wait)
	document, err := s.fetch(watchCtx, call{path: path, conditional: true})
	if err != nil || document.Revision != 0 {
		return document, err
	}
	if last := s.lastDocument(); last.Revision == after {
		return last, nil
	}
	return s.Read(ctx)
}

// fetch returns the zero document if the response is 304 Not Modified.
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
	text, err := readBody(ctx, response, MaxConfigBytes, call.path)
	if err != nil {
		return revision.Document{}, err
	}
	document := revision.Document{Revision: number, Text: text}
	s.setLast(document)
	return document, nil
}

func (s *ConfigSource) setLast(document revision.Document) {
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
