package platform_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"chivespindle.example/adapters/platform"
	"chivespindle.example/core/fleet"
	standin "chivespindle.example/standin/platform"
)

const (
	// shortStall is the stall timeout of specs that cause a stall.
	shortStall = 100 * time.Millisecond
	// shortWait is the wait of watches that are expected to see no change.
	shortWait = 50 * time.Millisecond
	// longWait is longer than any spec takes.
	longWait = time.Minute
)

// serve starts a handler for the duration of a spec and returns its base URL.
func serve(handler http.Handler) string {
	GinkgoHelper()
	server, err := standin.Start(handler, standin.AnyPort)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Stop)
	return server.URL()
}

// unusedURL returns the URL of a local port on which nothing listens.
func unusedURL() string {
	GinkgoHelper()
	server, err := standin.Start(http.NotFoundHandler(), standin.AnyPort)
	Expect(err).NotTo(HaveOccurred())
	server.Stop()
	return server.URL()
}

func configSource(options platform.ConfigOptions) *platform.ConfigSource {
	GinkgoHelper()
	source, err := platform.NewConfigSource(options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(source.Close)
	return source
}

func instanceList(options platform.InstanceListOptions) *platform.InstanceList {
	GinkgoHelper()
	list, err := platform.NewInstanceList(options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(list.Close)
	return list
}

func weightSource(options platform.WeightOptions) *platform.WeightSource {
	GinkgoHelper()
	source, err := platform.NewWeightSource(options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(source.Close)
	return source
}

func model(bytes int64, chunkBytes int) standin.Model {
	GinkgoHelper()
	fixture, err := standin.NewModel(standin.ModelSpec{Name: "relay", Bytes: bytes, ChunkBytes: chunkBytes, Seed: 7})
	Expect(err).NotTo(HaveOccurred())
	return fixture
}

// serverWith returns a weight server with the given models.
func serverWith(options standin.WeightOptions, models ...standin.Model) *standin.WeightServer {
	GinkgoHelper()
	server := standin.NewWeightServer(options)
	for _, m := range models {
		Expect(server.Add(m.Manifest, m.Chunks)).To(Equal(m.Version.Manifest))
	}
	return server
}

func entryInstance(id fleet.InstanceID) fleet.Instance {
	return fleet.Instance{
		ID:         id,
		Role:       fleet.RoleEntry,
		Place:      fleet.Place{Zone: "apapa-hall", Region: "Lagos"},
		PeerAddr:   netip.MustParseAddrPort("127.0.0.1:7100"),
		CallerAddr: netip.MustParseAddrPort("127.0.0.1:7200"),
	}
}

// beOfType matches an error by its type.
func beOfType(want *errorx.Type) types.GomegaMatcher {
	return WithTransform(func(err error) string {
		return errorx.GetTypeName(err)
	}, Equal(want.FullName()))
}

// inBackground runs call in a goroutine and returns a channel with its error.
func inBackground(call func(ctx context.Context) error) (<-chan error, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- call(ctx) }()
	return done, cancel
}

// unframed responds with part, with neither a length nor chunks.
func unframed(part string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConfig-Revision: 1\r\n\r\n"+part)
		_ = conn.Close()
	})
}

// truncateAfter returns a handler that announces size bytes, sends part and closes
// the connection.
func truncateAfter(part string, size int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Config-Revision", "1")
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
}
